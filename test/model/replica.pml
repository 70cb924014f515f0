/*
 * Election, commitment and the replacement of disks, of three members.
 *
 * A member is known by its disk.  A disk that is lost takes term, vote and
 * log with it; the blank one in its place has another number, and counts
 * only after committed changes have admitted it as a learner and promoted
 * it.  At most two disks are lost, the second one only when the first is a
 * voter again.  Replication is one step; messages that are lost or late are
 * steps that are not taken or taken later, and what a leader believes of a
 * disk that has since been lost is kept.
 *
 * The records of the log are a term and a list of members (0 for any other
 * record).  A list of members has three bits for each: two for its disk's
 * number, one for whether it votes.
 */
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_LOG
#define MAX_LOG 6
#endif
#define N 3
#define MAX_LOSSES 2

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

#define AT(i, k) ((i) * MAX_LOG + (k))
#define DISK_OF(list, j) (((list) >> (4 * (j))) & 7)
#define VOTES(list, j) (((list) >> (4 * (j) + 3)) & 1)
/* Disks 0, 1 and 2, all of them voters. */
#define FIRST_LIST (8 + (8 + 1) * 16 + (8 + 2) * 256)

/* Each of the -D options below breaks one rule; spin must then object. */
#ifdef BREAK_DISK_CHECK
#define IS_ASKED_DISK(list, j) true
#else
#define IS_ASKED_DISK(list, j) (DISK_OF(list, j) == disk[j])
#endif
#ifdef BREAK_ONE_AT_A_TIME
#define MAY_CHANGE(i) true
#else
#define MAY_CHANGE(i) \
	(committed[i] >= list_at && committed[i] >= own_start[i])
#endif
/* Objects when the second loss is reached, to show that it is. */
#ifdef REACH_SECOND_LOSS
#define SECOND_LOSS_IS_UNREACHED (losses < MAX_LOSSES)
#else
#define SECOND_LOSS_IS_UNREACHED true
#endif
#ifdef BREAK_LEARNER
#define ADMITTED_AS 8
#else
#define ADMITTED_AS 0
#endif

byte disk[N];
byte next_disk = N;
byte losses;
byte term[N];
byte voted[N]; /* a disk's number and 1, or 0 */
byte role[N];
byte votes[N]; /* a bit for each member */
byte length[N];
byte record_term[N * MAX_LOG];
short record_list[N * MAX_LOG];
byte stored[N * N]; /* what leader i believes that j has stored */
byte committed[N];
byte own_start[N];

/* Everything that was ever committed. */
byte all_length;
byte all_by[MAX_LOG]; /* the term of the leader that committed it */
byte all_term[MAX_LOG];
short all_list[MAX_LOG];

/* Scratch of one step. */
byte k;
byte v;
byte count;
byte voters;
short list;
byte list_at;
byte ok;

/* Sets list and list_at (a length) to the newest members in i's log. */
inline find_list(i)
{
	list = 0;
	list_at = 0;
	k = 0;
	do
	:: k < length[i] ->
		if
		:: record_list[AT(i, k)] -> list = record_list[AT(i, k)];
			list_at = k + 1
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0
}

/* Sets ok to whether i's own disk is a voter's. */
inline is_voter(i)
{
	find_list(i);
	ok = (list != 0 && VOTES(list, i) && DISK_OF(list, i) == disk[i])
}

inline append(i, new_list)
{
	record_term[AT(i, length[i])] = term[i];
	record_list[AT(i, length[i])] = new_list;
	length[i] = length[i] + 1;
	stored[i * N + i] = length[i]
}

inline follow(j, new_term)
{
	if
	:: term[j] < new_term -> term[j] = new_term; voted[j] = 0;
		role[j] = FOLLOWER; votes[j] = 0
	:: else
	fi
}

/* Sets ok to whether i's log is at least as far as j's. */
inline is_up_to_date(i, j)
{
	ok = (length[j] == 0);
	if
	:: !ok && length[i] > 0 ->
		ok = (record_term[AT(i, length[i] - 1)] >
			      record_term[AT(j, length[j] - 1)]) ||
		     (record_term[AT(i, length[i] - 1)] ==
			      record_term[AT(j, length[j] - 1)] &&
		      length[i] >= length[j])
	:: else
	fi
}

/* What an earlier term has committed must stand in a new leader's log. */
inline check_leader(i)
{
	k = 0;
	do
	:: k < all_length ->
		assert(all_by[k] >= term[i] ||
		       (k < length[i] &&
			record_term[AT(i, k)] == all_term[k] &&
			record_list[AT(i, k)] == all_list[k]));
		k++
	:: else -> break
	od;
	k = 0;
	do
	:: k < N ->
		assert(k == i || role[k] != LEADER || term[k] != term[i]);
		k++
	:: else -> break
	od;
	k = 0
}

inline stand(i)
{
	is_voter(i);
	if
	:: ok && role[i] != LEADER && term[i] < MAX_TERM ->
		term[i] = term[i] + 1;
		voted[i] = disk[i] + 1;
		votes[i] = 1 << i;
		role[i] = CANDIDATE
	:: else
	fi
}

inline vote(i, j)
{
	find_list(i);
	if
	:: role[i] == CANDIDATE && i != j && list != 0 && VOTES(list, j) &&
	   term[j] <= term[i] && IS_ASKED_DISK(list, j) ->
		is_up_to_date(i, j);
		if
		:: ok -> follow(j, term[i]);
			if
			:: voted[j] == 0 || voted[j] == disk[i] + 1 ->
				voted[j] = disk[i] + 1;
				votes[i] = votes[i] | (1 << j)
			:: else
			fi
		:: else
		fi
	:: else
	fi
}

inline win(i)
{
	find_list(i);
	count = 0;
	voters = 0;
	v = 0;
	do
	:: v < N ->
		if
		:: list != 0 && VOTES(list, v) -> voters++;
			count = count + ((votes[i] >> v) & 1)
		:: else
		fi;
		v++
	:: else -> break
	od;
	v = 0;
	if
	:: role[i] == CANDIDATE && count * 2 > voters && length[i] < MAX_LOG ->
		role[i] = LEADER;
		votes[i] = 0;
		check_leader(i);
		do
		:: v < N -> stored[i * N + v] = 0; v++
		:: else -> break
		od;
		v = 0;
		committed[i] = 0;
		append(i, 0);
		own_start[i] = length[i]
	:: else
	fi;
	count = 0;
	voters = 0
}

inline replicate(i, j)
{
	find_list(i);
	if
	:: role[i] == LEADER && i != j && DISK_OF(list, j) == disk[j] &&
	   term[j] <= term[i] ->
		follow(j, term[i]);
		role[j] = FOLLOWER;
		k = 0;
		do
		:: k < length[i] ->
			record_term[AT(j, k)] = record_term[AT(i, k)];
			record_list[AT(j, k)] = record_list[AT(i, k)];
			k++
		:: k >= length[i] && k < length[j] ->
			record_term[AT(j, k)] = 0;
			record_list[AT(j, k)] = 0;
			k++
		:: else -> break
		od;
		k = 0;
		length[j] = length[i];
		stored[i * N + j] = length[i]
	:: else
	fi
}

/* Commits the longest log that a majority of the voters has stored. */
inline commit(i)
{
	find_list(i);
	ok = length[i];
	do
	:: ok > committed[i] ->
		count = 0;
		voters = 0;
		v = 0;
		do
		:: v < N ->
			if
			:: VOTES(list, v) -> voters++;
				if
				:: stored[i * N + v] >= ok -> count++
				:: else
				fi
			:: else
			fi;
			v++
		:: else -> break
		od;
		v = 0;
		if
		:: count * 2 > voters &&
		   record_term[AT(i, ok - 1)] == term[i] -> break
		:: else -> ok--
		fi
	:: else -> break
	od;
	if
	:: role[i] == LEADER && ok > committed[i] ->
		committed[i] = ok;
		k = 0;
		do
		:: k < ok ->
			if
			:: k < all_length ->
				assert(all_term[k] == record_term[AT(i, k)] &&
				       all_list[k] == record_list[AT(i, k)])
			:: else -> all_term[k] = record_term[AT(i, k)];
				all_list[k] = record_list[AT(i, k)];
				all_by[k] = term[i];
				all_length = k + 1
			fi;
			k++
		:: else -> break
		od;
		k = 0
	:: else
	fi;
	count = 0;
	voters = 0
}

/* Admits a blank disk as a learner, or promotes one that has caught up. */
inline change(i, j)
{
	find_list(i);
	if
	:: role[i] == LEADER && i != j && length[i] < MAX_LOG &&
	   MAY_CHANGE(i) ->
		if
		:: DISK_OF(list, j) != disk[j] ->
			list = (list & ~(15 << (4 * j))) |
			       ((disk[j] | ADMITTED_AS) << (4 * j));
			stored[i * N + j] = 0;
			append(i, list)
		:: DISK_OF(list, j) == disk[j] && !VOTES(list, j) &&
		   stored[i * N + j] >= list_at ->
			list = list | (8 << (4 * j));
			append(i, list)
		:: else
		fi
	:: else
	fi
}

/* Loses a disk, when every voter that is committed has its own. */
inline lose(j)
{
	list = 0;
	k = 0;
	do
	:: k < all_length ->
		if
		:: all_list[k] -> list = all_list[k]
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0;
	ok = 1;
	v = 0;
	do
	:: v < N ->
		if
		:: !VOTES(list, v) || DISK_OF(list, v) != disk[v] -> ok = 0
		:: else
		fi;
		v++
	:: else -> break
	od;
	v = 0;
	if
	:: ok && losses < MAX_LOSSES ->
		losses++;
		assert(SECOND_LOSS_IS_UNREACHED);
		disk[j] = next_disk;
		next_disk++;
		term[j] = 0;
		voted[j] = 0;
		role[j] = FOLLOWER;
		votes[j] = 0;
		committed[j] = 0;
		own_start[j] = 0;
		do
		:: k < MAX_LOG -> record_term[AT(j, k)] = 0;
			record_list[AT(j, k)] = 0; k++
		:: else -> break
		od;
		k = 0;
		length[j] = 0;
		do
		:: v < N -> stored[j * N + v] = 0; v++
		:: else -> break
		od;
		v = 0
	:: else
	fi
}

inline step(i, j)
{
	if
	:: stand(i)
	:: vote(i, j)
	:: win(i)
	:: replicate(i, j)
	:: commit(i)
	:: change(i, j)
	:: lose(i)
	:: role[i] = FOLLOWER; votes[i] = 0
	fi
}

init
{
	byte i;
	byte j;

	d_step {
		do
		:: i < N ->
			disk[i] = i;
			term[i] = 1;
			length[i] = 1;
			record_term[AT(i, 0)] = 1;
			record_list[AT(i, 0)] = FIRST_LIST;
			i++
		:: else -> break
		od;
		all_length = 1;
		all_term[0] = 1;
		all_list[0] = FIRST_LIST;
		all_by[0] = 1;
		i = 0
	}
	do
	:: atomic {
		if
		:: i = 0
		:: i = 1
		:: i = 2
		fi;
		if
		:: j = 0
		:: j = 1
		:: j = 2
		fi;
		step(i, j);
		i = 0;
		j = 0;
		ok = 0;
		list = 0;
		list_at = 0
	}
	od
}
