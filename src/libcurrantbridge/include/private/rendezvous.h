#ifndef PRIVATE_RENDEZVOUS_H
#define PRIVATE_RENDEZVOUS_H

#include "currantbridge/view.h"

GPtrArray *cb_rendezvous_rank(const GPtrArray *instances, const char *key);
GPtrArray *cb_rendezvous_pick(const GPtrArray *instances, const char *key,
			      unsigned int count);

#endif
