/*
 * Leader election, commitment and replacement of disks in a control group of
 * three members, and, with -DNEWCOMER, of members by a fourth machine.
 *
 * A member is identified by its disk.  A disk that is lost takes term, vote and
 * log with it.  The blank disk in its place has another number, and is a voter
 * only after committed changes have added it as a learner and promoted it.  At
 * most two disks are lost, the second only when the first has been replaced by
 * a voter.  Replication of a whole log is one step.  Lost and late messages are
 * modelled as steps that are not taken or are taken later.  A leader keeps what
 * it knows of a disk after that disk was lost.
 *
 * With -DNEWCOMER, no disk is lost.  A leader may make the first voter a learner
 * when the number of voters is even, or when a learner has caught up that can
 * take its place.  That voter isn't gone: it goes on with the log that it has,
 * and may get its vote back.
 *
 * A log record is a term and a list of members (0 for any other record).  A
 * list of members has four bits for each: three for the number of its disk (0:
 * not a member), one for whether it is a voter.
 */
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_LOG
#ifdef NEWCOMER
#define MAX_LOG 4
#else
#define MAX_LOG 6
#endif
#endif
#ifdef NEWCOMER
#define MEMBER_COUNT 4
#define MAX_LOSSES 0
#else
#define MEMBER_COUNT 3
#define MAX_LOSSES 2
#endif

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

#define LOG_AT(i, position) ((i) * MAX_LOG + (position))
#define DISK_OF(members, j) (((members) >> (4 * (j))) & 7)
#define IS_VOTER(members, j) (((members) >> (4 * (j) + 3)) & 1)
#define IS_MEMBER(members, j) (((members) >> (4 * (j))) & 15)
/* Disks 1, 2 and 3, all of them voters; the newcomer is a learner. */
#ifdef NEWCOMER
#define FIRST_MEMBERS ((8 + 1) + (8 + 2) * 16 + (8 + 3) * 256 + 4 * 4096)
#else
#define FIRST_MEMBERS ((8 + 1) + (8 + 2) * 16 + (8 + 3) * 256)
#endif

/* Each -DBREAK_* option breaks one rule; spin must then report an error. */
#ifdef BREAK_DISK_CHECK
#define IS_LISTED_DISK(members, j) true
#else
#define IS_LISTED_DISK(members, j) (DISK_OF(members, j) == disk[j])
#endif
#ifdef BREAK_ONE_AT_A_TIME
#define MAY_CHANGE_MEMBERS(i) true
#else
#define MAY_CHANGE_MEMBERS(i) \
	(commit_length[i] >= members_length && \
	 commit_length[i] >= own_term_length[i])
#endif
/* Fails when the newcomer has replaced a voter, to show that it can. */
#ifdef REACH_REPLACEMENT
#define REPLACEMENT_IS_UNREACHED(members) \
	(!IS_VOTER(members, 3) || IS_VOTER(members, 0))
#else
#define REPLACEMENT_IS_UNREACHED(members) true
#endif
/* Fails when a second loss is reached, to show that the search covers it. */
#ifdef REACH_SECOND_LOSS
#define SECOND_LOSS_IS_UNREACHED (losses < MAX_LOSSES)
#else
#define SECOND_LOSS_IS_UNREACHED true
#endif
#ifdef BREAK_LEARNER
#define NEW_DISK_FLAG 8
#else
#define NEW_DISK_FLAG 0
#endif

byte disk[MEMBER_COUNT]; /* number of the member's disk */
byte next_disk = MEMBER_COUNT + 1;
byte losses;
byte term[MEMBER_COUNT];
byte voted_for[MEMBER_COUNT]; /* number of a disk plus 1, or 0 */
byte role[MEMBER_COUNT];
byte votes[MEMBER_COUNT]; /* of a candidate: one bit per member */
byte log_length[MEMBER_COUNT];
byte log_term[MEMBER_COUNT * MAX_LOG];
int log_members[MEMBER_COUNT * MAX_LOG];
/* The log length that leader i knows j to have. */
byte stored_length[MEMBER_COUNT * MEMBER_COUNT];
byte commit_length[MEMBER_COUNT];
/* The log length up to the first record of a leader's own term. */
byte own_term_length[MEMBER_COUNT];

/* All records that were ever committed. */
byte history_length;
byte history_leader[MAX_LOG]; /* term of the leader that committed it */
byte history_term[MAX_LOG];
int history_members[MAX_LOG];

/* Temporary variables of one step. */
byte position;
byte member;
byte vote_count;
byte voter_count;
int members;
byte members_length;
byte result;

/*
 * Sets members to the newest list in i's log, and members_length to the log
 * length up to it.
 */
inline find_members(i)
{
	members = 0;
	members_length = 0;
	position = 0;
	do
	:: position < log_length[i] ->
		if
		:: log_members[LOG_AT(i, position)] ->
			members = log_members[LOG_AT(i, position)];
			members_length = position + 1
		:: else
		fi;
		position++
	:: else -> break
	od;
	position = 0
}

/* Sets result to whether i's present disk is that of a voter. */
inline check_is_voter(i)
{
	find_members(i);
	result = (members != 0 && IS_VOTER(members, i) &&
		  DISK_OF(members, i) == disk[i])
}

inline append_record(i, new_members)
{
	log_term[LOG_AT(i, log_length[i])] = term[i];
	log_members[LOG_AT(i, log_length[i])] = new_members;
	log_length[i] = log_length[i] + 1;
	stored_length[i * MEMBER_COUNT + i] = log_length[i]
}

/* Makes j a follower in a newer term. */
inline adopt_term(j, new_term)
{
	if
	:: term[j] < new_term -> term[j] = new_term; voted_for[j] = 0;
		role[j] = FOLLOWER; votes[j] = 0
	:: else
	fi
}

/* Sets result to whether i's log is at least as up to date as j's. */
inline check_is_up_to_date(i, j)
{
	result = (log_length[j] == 0);
	if
	:: !result && log_length[i] > 0 ->
		result = (log_term[LOG_AT(i, log_length[i] - 1)] >
			      log_term[LOG_AT(j, log_length[j] - 1)]) ||
		     (log_term[LOG_AT(i, log_length[i] - 1)] ==
			      log_term[LOG_AT(j, log_length[j] - 1)] &&
		      log_length[i] >= log_length[j])
	:: else
	fi
}

/*
 * Asserts that a new leader's log contains all that earlier terms have
 * committed, and that no other member is the leader of the same term.
 */
inline check_new_leader(i)
{
	position = 0;
	do
	:: position < history_length ->
		assert(history_leader[position] >= term[i] ||
		       (position < log_length[i] &&
			log_term[LOG_AT(i, position)] == history_term[position] &&
			log_members[LOG_AT(i, position)] == history_members[position]));
		position++
	:: else -> break
	od;
	position = 0;
	do
	:: position < MEMBER_COUNT ->
		assert(position == i || role[position] != LEADER ||
		       term[position] != term[i]);
		position++
	:: else -> break
	od;
	position = 0
}

/* i becomes a candidate in a new term. */
inline start_election(i)
{
	check_is_voter(i);
	if
	:: result && role[i] != LEADER && term[i] < MAX_TERM ->
		term[i] = term[i] + 1;
		voted_for[i] = disk[i] + 1;
		votes[i] = 1 << i;
		role[i] = CANDIDATE
	:: else
	fi
}

/* j votes for i if i's term and log are recent enough. */
inline request_vote(i, j)
{
	find_members(i);
	if
	:: role[i] == CANDIDATE && i != j && members != 0 &&
	   IS_VOTER(members, j) && term[j] <= term[i] &&
	   IS_LISTED_DISK(members, j) ->
		check_is_up_to_date(i, j);
		if
		:: result -> adopt_term(j, term[i]);
			if
			:: voted_for[j] == 0 || voted_for[j] == disk[i] + 1 ->
				voted_for[j] = disk[i] + 1;
				votes[i] = votes[i] | (1 << j)
			:: else
			fi
		:: else
		fi
	:: else
	fi
}

/* i becomes the leader if a majority of the voters has voted for it. */
inline become_leader(i)
{
	find_members(i);
	vote_count = 0;
	voter_count = 0;
	member = 0;
	do
	:: member < MEMBER_COUNT ->
		if
		:: members != 0 && IS_VOTER(members, member) -> voter_count++;
			vote_count = vote_count + ((votes[i] >> member) & 1)
		:: else
		fi;
		member++
	:: else -> break
	od;
	member = 0;
	if
	:: role[i] == CANDIDATE && vote_count * 2 > voter_count &&
	   log_length[i] < MAX_LOG ->
		role[i] = LEADER;
		votes[i] = 0;
		check_new_leader(i);
		do
		:: member < MEMBER_COUNT ->
			stored_length[i * MEMBER_COUNT + member] = 0;
			member++
		:: else -> break
		od;
		member = 0;
		commit_length[i] = 0;
		append_record(i, 0);
		own_term_length[i] = log_length[i]
	:: else
	fi;
	vote_count = 0;
	voter_count = 0
}

/* Copies the log of leader i to j. */
inline replicate_log(i, j)
{
	find_members(i);
	if
	:: role[i] == LEADER && i != j && DISK_OF(members, j) == disk[j] &&
	   term[j] <= term[i] ->
		adopt_term(j, term[i]);
		role[j] = FOLLOWER;
		position = 0;
		do
		:: position < log_length[i] ->
			log_term[LOG_AT(j, position)] = log_term[LOG_AT(i, position)];
			log_members[LOG_AT(j, position)] = log_members[LOG_AT(i, position)];
			position++
		:: position >= log_length[i] && position < log_length[j] ->
			log_term[LOG_AT(j, position)] = 0;
			log_members[LOG_AT(j, position)] = 0;
			position++
		:: else -> break
		od;
		position = 0;
		log_length[j] = log_length[i];
		stored_length[i * MEMBER_COUNT + j] = log_length[i]
	:: else
	fi
}

/*
 * Commits the longest log that a majority of the voters has stored, if it ends
 * with a record of the leader's own term.
 */
inline advance_commit(i)
{
	find_members(i);
	result = log_length[i];
	do
	:: result > commit_length[i] ->
		vote_count = 0;
		voter_count = 0;
		member = 0;
		do
		:: member < MEMBER_COUNT ->
			if
			:: IS_VOTER(members, member) -> voter_count++;
				if
				:: stored_length[i * MEMBER_COUNT + member] >= result -> vote_count++
				:: else
				fi
			:: else
			fi;
			member++
		:: else -> break
		od;
		member = 0;
		if
		:: vote_count * 2 > voter_count &&
		   log_term[LOG_AT(i, result - 1)] == term[i] -> break
		:: else -> result--
		fi
	:: else -> break
	od;
	if
	:: role[i] == LEADER && result > commit_length[i] ->
		commit_length[i] = result;
		position = 0;
		do
		:: position < result ->
			if
			:: position < history_length ->
				assert(history_term[position] == log_term[LOG_AT(i, position)] &&
				       history_members[position] == log_members[LOG_AT(i, position)])
			:: else -> history_term[position] = log_term[LOG_AT(i, position)];
				history_members[position] = log_members[LOG_AT(i, position)];
				history_leader[position] = term[i];
				assert(history_members[position] == 0 ||
				       REPLACEMENT_IS_UNREACHED(history_members[position]));
				history_length = position + 1
			fi;
			position++
		:: else -> break
		od;
		position = 0
	:: else
	fi;
	vote_count = 0;
	voter_count = 0
}

/* Adds a blank disk as a learner, or promotes a learner that has caught up. */
inline change_members(i, j)
{
	find_members(i);
	if
	:: role[i] == LEADER && i != j && log_length[i] < MAX_LOG &&
	   MAY_CHANGE_MEMBERS(i) ->
		if
		:: DISK_OF(members, j) != disk[j] ->
			members = (members & ~(15 << (4 * j))) |
			       ((disk[j] | NEW_DISK_FLAG) << (4 * j));
			stored_length[i * MEMBER_COUNT + j] = 0;
			append_record(i, members)
		:: DISK_OF(members, j) == disk[j] && !IS_VOTER(members, j) &&
		   stored_length[i * MEMBER_COUNT + j] >= members_length ->
			members = members | (8 << (4 * j));
			append_record(i, members)
		:: else
		fi
	:: else
	fi
}

#ifdef NEWCOMER
/* Sets result to whether a voter may lose its vote: one step of a replacement. */
inline check_may_demote(i)
{
	result = 0;
	voter_count = 0;
	member = 0;
	do
	:: member < MEMBER_COUNT ->
		if
		:: IS_VOTER(members, member) -> voter_count++
		:: !IS_VOTER(members, member) && IS_MEMBER(members, member) &&
		   DISK_OF(members, member) == disk[member] &&
		   stored_length[i * MEMBER_COUNT + member] >= members_length ->
			result = 1
		:: else
		fi;
		member++
	:: else -> break
	od;
	member = 0;
	result = result || voter_count % 2 == 0;
	result = result && voter_count > 1;
	voter_count = 0
}

/* Makes the voter j a learner, whether it is gone or not. */
inline demote_voter(i, j)
{
	find_members(i);
	if
	:: role[i] == LEADER && i != j && log_length[i] < MAX_LOG &&
	   MAY_CHANGE_MEMBERS(i) && j == 0 && IS_VOTER(members, j) ->
		check_may_demote(i);
		if
		:: result ->
			members = members & ~(8 << (4 * j));
#ifdef BREAK_REPLACEMENT
			members = members | (IS_MEMBER(members, 3) -> 8 << 12 : 0);
#endif
			append_record(i, members)
		:: else
		fi
	:: else
	fi
}
#endif

/*
 * Replaces j's disk by a blank one, if j and two others at least are committed
 * members, and all of these are voters.
 */
inline lose_disk(j)
{
	members = 0;
	position = 0;
	do
	:: position < history_length ->
		if
		:: history_members[position] -> members = history_members[position]
		:: else
		fi;
		position++
	:: else -> break
	od;
	position = 0;
	result = IS_MEMBER(members, j) != 0;
	voter_count = 0;
	member = 0;
	do
	:: member < MEMBER_COUNT ->
		if
		:: IS_MEMBER(members, member) &&
		   (!IS_VOTER(members, member) ||
		    DISK_OF(members, member) != disk[member]) -> result = 0
		:: else -> voter_count = voter_count + IS_VOTER(members, member)
		fi;
		member++
	:: else -> break
	od;
	member = 0;
	result = result && voter_count >= 3;
	voter_count = 0;
	if
	:: result && losses < MAX_LOSSES ->
		losses++;
		assert(SECOND_LOSS_IS_UNREACHED);
		disk[j] = next_disk;
		next_disk++;
		term[j] = 0;
		voted_for[j] = 0;
		role[j] = FOLLOWER;
		votes[j] = 0;
		commit_length[j] = 0;
		own_term_length[j] = 0;
		do
		:: position < MAX_LOG -> log_term[LOG_AT(j, position)] = 0;
			log_members[LOG_AT(j, position)] = 0; position++
		:: else -> break
		od;
		position = 0;
		log_length[j] = 0;
		do
		:: member < MEMBER_COUNT ->
			stored_length[j * MEMBER_COUNT + member] = 0;
			member++
		:: else -> break
		od;
		member = 0
	:: else
	fi
}

inline step(i, j)
{
	if
	:: d_step { start_election(i) }
	:: d_step { request_vote(i, j) }
	:: d_step { become_leader(i) }
	:: d_step { replicate_log(i, j) }
	:: d_step { advance_commit(i) }
	:: d_step { change_members(i, j) }
#ifdef NEWCOMER
	:: d_step { demote_voter(i, j) }
#endif
	:: d_step { lose_disk(i) }
	:: d_step { role[i] = FOLLOWER; votes[i] = 0 }
	fi
}

init
{
	byte i;
	byte j;

	d_step {
		do
		:: i < MEMBER_COUNT ->
			disk[i] = i + 1;
			term[i] = 1;
			log_length[i] = 1;
			log_term[LOG_AT(i, 0)] = 1;
			log_members[LOG_AT(i, 0)] = FIRST_MEMBERS;
			i++
		:: else -> break
		od;
		history_length = 1;
		history_term[0] = 1;
		history_members[0] = FIRST_MEMBERS;
		history_leader[0] = 1;
		i = 0
	}
	do
	:: atomic {
		if
		:: i = 0
		:: i = 1
		:: i = 2
#ifdef NEWCOMER
		:: i = 3
#endif
		fi;
		if
		:: j = 0
		:: j = 1
		:: j = 2
#ifdef NEWCOMER
		:: j = 3
#endif
		fi;
		step(i, j);
		i = 0;
		j = 0;
		result = 0;
		members = 0;
		members_length = 0
	}
	od
}
