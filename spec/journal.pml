/*
 * Core protocol of the journal: claim, send, crash, repeat, bill, lost reply, and a partition owner that
 * was paused past its lease. One idempotency key, two hosts, and requests of one caller with the same key.
 *
 * State names are those of src/common/coordination/Types.ts (ClaimState, JournalEntry, JournalError) and
 * src/common/blackboard/Types.ts (PartitionPhase). A lease only reduces contention in the code, so the model
 * has none: any host may open the partition at any moment, which covers every lapse of a lease.
 *
 * A macro given on the command line removes one rule; spec/check requires that spin finds each of them.
 */

#ifndef REQUESTS
#define REQUESTS 2
#endif
#define HOSTS 2
#define NONE 255
/* Tries of an append before the request gives up. */
#ifndef MAX_TRIES
#define MAX_TRIES 2
#endif

mtype:claim = { unclaimed, claimed, done };
mtype:phase = { unowned, owned, fenced };
mtype:entry = { claim_entry, release_entry, outcome_and_bill };
mtype:append = { committed, duplicate, not_owner, unknown_outcome };

/* Store: the head of the partition. */
byte head_version = 0;
byte head_batch = NONE;
mtype:claim head_claim = unclaimed;
byte head_request = NONE;
bool head_billed = false;

/* Owner's copy of the head on each host. */
mtype:phase phase[HOSTS] = unowned;
byte known_version[HOSTS];
mtype:claim known_claim[HOSTS] = unclaimed;
byte known_request[HOSTS] = NONE;
bool known_billed[HOSTS];
bool is_committing[HOSTS];
/* Changes with a crash, so that a request notices that its host has lost its memory. */
bit boot[HOSTS];

/* Books of the endpoint, the ledger and the caller. */
byte runs = 0;
bool has_run[REQUESTS];
bool said_not_run[REQUESTS];
byte bills = 0;

#define HOST_IS_GONE (boot[h] != my_boot)

#ifdef NO_COMPARE_AND_SWAP
#define VERSION_MATCHES true
#else
#define VERSION_MATCHES (head_version == my_expected)
#endif

#ifdef REUSED_VERSION
/* A trimmed key that is created again has the version that a paused owner expects. */
#define NEXT_VERSION ((head_version + 1) % 2)
#else
#define NEXT_VERSION (head_version + 1)
#endif

inline record_run() {
  d_step {
    runs = runs + 1;
    has_run[id] = true;
    assert(runs <= 1);
    assert(!said_not_run[id])
  }
}

inline say_not_run() {
  d_step {
    said_not_run[id] = true;
    assert(!has_run[id])
  }
}

inline deliver_answer() {
  assert(bills == 1)
}

/* The swap as the store executes it. The owner may have been paused or have died before. */
inline swap_head() {
  d_step {
    if
    :: VERSION_MATCHES ->
       head_version = NEXT_VERSION;
       my_version = head_version;
       head_batch = my_batch;
       head_claim = new_claim;
       head_request = new_request;
       if
       :: adds_bill ->
          head_billed = true;
          bills = bills + 1;
          assert(bills <= 1)
       :: else
       fi;
       is_swapped = true
    :: else -> is_swapped = false
    fi
  }
}

/* The owner learns that its swap took effect. */
inline accept_swap() {
  d_step {
    known_version[h] = my_version;
    known_claim[h] = new_claim;
    known_request[h] = new_request;
    known_billed[h] = known_billed[h] || adds_bill
  }
}

inline start_batch() {
  batches = batches + 1;
  my_batch = id * 32 + batches;
  /* Part of the message: it stays the same if the host dies while the message is under way. */
  my_expected = known_version[h]
}

/* Opens the partition at host h: reads the head and swaps it with a higher epoch. */
inline open_partition() {
  atomic {
    if
    :: HOST_IS_GONE -> goto ended
    :: !HOST_IS_GONE && !is_committing[h] -> is_committing[h] = true
    fi;
    adds_bill = false;
    if
    :: phase[h] == owned -> must_open = false
    :: else ->
       must_open = true;
       known_version[h] = head_version;
       known_claim[h] = head_claim;
       known_request[h] = head_request;
       known_billed[h] = head_billed;
       new_claim = head_claim;
       new_request = head_request;
       start_batch()
    fi
  }
  if
  :: must_open -> swap_head()
  :: else
  fi;
  atomic {
    if
    :: HOST_IS_GONE -> goto ended
    :: else
    fi;
    if
    :: must_open && is_swapped -> accept_swap(); phase[h] = owned
    :: must_open && !is_swapped -> phase[h] = fenced
    :: else
    fi;
    is_committing[h] = false;
    is_swapped = false;
    must_open = false
  }
}

/* What the entry changes in the owner's copy; a duplicate changes nothing. */
inline apply_entry(kind) {
  d_step {
    new_claim = known_claim[h];
    new_request = known_request[h];
    adds_bill = false;
    is_duplicate = false;
    if
    :: kind == claim_entry && known_claim[h] == unclaimed -> new_claim = claimed; new_request = id
    :: kind == claim_entry && known_claim[h] != unclaimed -> is_duplicate = true
    :: kind == release_entry ->
       if
#ifdef RELEASE_OF_ANY_CLAIM
       :: known_claim[h] == claimed ->
#else
       :: known_claim[h] == claimed && known_request[h] == id ->
#endif
          new_claim = unclaimed;
          new_request = NONE
       :: else -> is_duplicate = true
       fi
    :: kind == outcome_and_bill ->
       if
       :: known_claim[h] == claimed && known_request[h] == id -> new_claim = done
       :: else
       fi;
#ifdef BILL_WITHOUT_KEY
       adds_bill = true
#else
       adds_bill = !known_billed[h];
       is_duplicate = known_billed[h]
#endif
    fi
  }
}

/* Commits one entry as the owner; writes `result`. */
inline commit_entry(kind) {
  atomic {
    if
    :: HOST_IS_GONE -> goto ended
    :: !HOST_IS_GONE && !is_committing[h] -> is_committing[h] = true
    fi;
    if
    :: phase[h] != owned -> result = not_owner
    /* The message to the owner is lost, which looks like a commit that takes too long. */
    :: phase[h] == owned && kind == claim_entry -> result = unknown_outcome
    :: phase[h] == owned ->
       apply_entry(kind);
       if
       :: is_duplicate -> result = duplicate
       :: else -> result = committed; start_batch()
       fi
    fi
  }
  if
  :: result == committed -> swap_head()
  :: else
  fi;
  atomic {
    if
    :: HOST_IS_GONE -> goto ended
    :: else
    fi;
    if
    :: result == committed && is_swapped -> accept_swap()
    :: result == committed && !is_swapped -> phase[h] = fenced; result = not_owner
#ifdef BLIND_REWRITE
    /* The reply is lost; the owner takes the write as failed and only learns the version. */
    :: result == committed && is_swapped -> known_version[h] = head_version; result = not_owner
#else
    /* The reply is lost; the owner reads the head back. */
    :: result == committed && is_swapped && head_batch == my_batch -> accept_swap()
    :: result == committed && is_swapped && head_batch != my_batch -> phase[h] = fenced; result = unknown_outcome
    /* The append timed out before the read came back. */
    :: result == committed && is_swapped -> phase[h] = fenced; result = unknown_outcome
#endif
    :: result != committed
    fi;
    is_committing[h] = false;
    is_swapped = false
  }
}

proctype Request(byte id) {
  byte h;
  bit my_boot;
  byte batches = 0;
  byte my_batch;
  byte my_expected;
  byte my_version;
  byte tries = 0;
  mtype:append result;
  mtype:claim new_claim;
  byte new_request;
  bool is_swapped;
  bool must_open;
  bool adds_bill;
  bool is_duplicate;

  atomic {
    if
    :: h = 0
    :: h = 1
    fi;
    my_boot = boot[h]
  }
#ifdef SEND_BEFORE_CLAIM
  record_run();
#endif

claim:
  if
  :: tries == MAX_TRIES -> say_not_run(); goto ended
  :: else -> tries = tries + 1
  fi;
  open_partition();
  commit_entry(claim_entry);
  if
  :: result == committed -> goto send
  :: result == not_owner -> goto claim
  :: result == unknown_outcome ->
     /* Nothing was sent, so this is true whether or not the claim is committed. */
     say_not_run();
     goto release
  :: result == duplicate ->
     atomic {
       if
       :: !HOST_IS_GONE && known_claim[h] == done -> deliver_answer()
       :: !HOST_IS_GONE && known_claim[h] == claimed && known_request[h] == id -> goto send
       :: else /* Refused with ran: unknown. */
       fi
     };
     goto ended
  fi;

send:
#ifndef SEND_BEFORE_CLAIM
  if
  :: atomic { !HOST_IS_GONE -> record_run() }
  :: atomic { !HOST_IS_GONE -> say_not_run() }; goto release /* The connection was refused. */
  :: HOST_IS_GONE -> goto ended
  fi;
#endif
  if
  :: skip
#ifdef TIMEOUT_IS_NOT_RUN
  :: say_not_run(); goto release
#else
  :: goto ended /* The answer is lost: refused with ran: unknown, the claim stays. */
#endif
  fi;
  tries = 0;

bill:
  if
  :: tries == MAX_TRIES -> goto ended
  :: else -> tries = tries + 1
  fi;
  open_partition();
  commit_entry(outcome_and_bill);
  if
  :: result == committed || result == duplicate -> deliver_answer(); goto ended
  :: else -> goto bill
  fi;

release:
  open_partition();
  commit_entry(release_entry);

ended:
  skip
}

#ifndef NO_CRASH
/* Crashes one host: its memory is lost and every request on it ends. */
proctype Crash() {
  byte h;
  if
  :: h = 0
  :: h = 1
  fi;
  atomic {
    boot[h] = 1 - boot[h];
    phase[h] = unowned;
    is_committing[h] = false
  }
}
#endif

init {
  byte id = 0;
  atomic {
    do
    :: id < REQUESTS -> run Request(id); id = id + 1
    :: else -> break
    od;
#ifndef NO_CRASH
    run Crash()
#endif
  }
}
