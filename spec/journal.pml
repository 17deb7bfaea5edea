/*
 * Model of the journal protocol: requests claim a key, are sent to an endpoint, repeated and billed, while a
 * host crashes, replies of the store are lost, and a paused owner of the partition resumes after its lease has
 * expired. The model has one idempotency key, two hosts, and several requests of one caller with that key.
 *
 * State names are those of src/common/coordination/Types.ts (ClaimState, JournalEntry, JournalError) and
 * src/common/blackboard/Types.ts (PartitionPhase). The model has no leases, because in the code they only
 * reduce contention. Any host may open the partition at any moment, which covers every expiry of a lease.
 *
 * Each macro that spec/check lists as a mutation removes one rule of the protocol. spec/check requires that
 * spin finds an error in each mutation.
 */

#ifndef REQUESTS
#define REQUESTS 2
#endif
#define HOSTS 2
#define NONE 255
/* Number of times that a request tries to append an entry before it gives up. */
#ifndef MAX_TRIES
#define MAX_TRIES 2
#endif

mtype:claim = { unclaimed, claimed, done };
mtype:phase = { unowned, owned, fenced };
mtype:entry = { claim_entry, release_entry, outcome_and_bill_entry };
mtype:append = { committed, duplicate, not_owner, unknown_outcome };

/* Head of the partition in the store. */
byte head_version = 0;
byte head_batch = NONE;
mtype:claim head_claim = unclaimed;
byte head_request = NONE;
bool head_billed = false;

/* Ownership of the partition by each host, and the host's copy of the head. */
mtype:phase phase[HOSTS] = unowned;
byte cached_version[HOSTS];
mtype:claim cached_claim[HOSTS] = unclaimed;
byte cached_request[HOSTS] = NONE;
bool cached_billed[HOSTS];
/* A host commits one batch at a time. */
bool is_committing[HOSTS];
/* Changes when the host crashes, so that its requests notice that the host has lost its memory. */
bit incarnation[HOSTS];

/* What the endpoint ran, what callers were told, and the number of bills in the ledger. The assertions check these. */
byte run_count = 0;
bool has_run[REQUESTS];
bool reported_not_run[REQUESTS];
byte bill_count = 0;

#define HOST_HAS_RESTARTED (incarnation[h] != my_incarnation)

#ifdef NO_COMPARE_AND_SWAP
#define VERSION_MATCHES true
#else
#define VERSION_MATCHES (head_version == expected_version)
#endif

#ifdef REUSED_VERSION
/* A key that is deleted and created again repeats a version, which a paused owner may still expect. */
#define NEXT_VERSION ((head_version + 1) % 2)
#else
#define NEXT_VERSION (head_version + 1)
#endif

inline record_run() {
  d_step {
    run_count = run_count + 1;
    has_run[id] = true;
    assert(run_count <= 1);
    assert(!reported_not_run[id])
  }
}

inline report_not_run() {
  d_step {
    reported_not_run[id] = true;
    assert(!has_run[id])
  }
}

inline deliver_answer() {
  assert(bill_count == 1)
}

/* The store executes a compare-and-swap. The host that sent it may since have been paused or have crashed. */
inline swap_head() {
  d_step {
    if
    :: VERSION_MATCHES ->
       head_version = NEXT_VERSION;
       swapped_version = head_version;
       head_batch = batch_id;
       head_claim = new_claim;
       head_request = new_request;
       if
       :: adds_bill ->
          head_billed = true;
          bill_count = bill_count + 1;
          assert(bill_count <= 1)
       :: else
       fi;
       has_swapped = true
    :: else -> has_swapped = false
    fi
  }
}

/* Updates the copy of host h after its swap took effect. */
inline update_cached_head() {
  d_step {
    cached_version[h] = swapped_version;
    cached_claim[h] = new_claim;
    cached_request[h] = new_request;
    cached_billed[h] = cached_billed[h] || adds_bill
  }
}

inline start_batch() {
  batch_count = batch_count + 1;
  batch_id = id * 32 + batch_count;
  /* The expected version is in the message: it stays the same if the host crashes while the message is in flight. */
  expected_version = cached_version[h]
}

/*
 * Host h takes ownership of the partition, unless it is the owner: it reads the head and swaps it for one with
 * a higher epoch. In the model, the new version of the head stands for the epoch.
 */
inline open_partition() {
  atomic {
    if
    :: HOST_HAS_RESTARTED -> goto ended
    :: !HOST_HAS_RESTARTED && !is_committing[h] -> is_committing[h] = true
    fi;
    adds_bill = false;
    if
    :: phase[h] == owned -> must_open = false
    :: else ->
       must_open = true;
       cached_version[h] = head_version;
       cached_claim[h] = head_claim;
       cached_request[h] = head_request;
       cached_billed[h] = head_billed;
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
    :: HOST_HAS_RESTARTED -> goto ended
    :: else
    fi;
    if
    :: must_open && has_swapped -> update_cached_head(); phase[h] = owned
    :: must_open && !has_swapped -> phase[h] = fenced
    :: else
    fi;
    is_committing[h] = false;
    has_swapped = false;
    must_open = false
  }
}

/* Computes the head after the entry from the copy of host h. A duplicate changes nothing. */
inline apply_entry(kind) {
  d_step {
    new_claim = cached_claim[h];
    new_request = cached_request[h];
    adds_bill = false;
    is_duplicate = false;
    if
    :: kind == claim_entry && cached_claim[h] == unclaimed -> new_claim = claimed; new_request = id
    :: kind == claim_entry && cached_claim[h] != unclaimed -> is_duplicate = true
    :: kind == release_entry ->
       if
#ifdef RELEASE_OF_ANY_CLAIM
       :: cached_claim[h] == claimed ->
#else
       :: cached_claim[h] == claimed && cached_request[h] == id ->
#endif
          new_claim = unclaimed;
          new_request = NONE
       :: else -> is_duplicate = true
       fi
    :: kind == outcome_and_bill_entry ->
       if
       :: cached_claim[h] == claimed && cached_request[h] == id -> new_claim = done
       :: else
       fi;
#ifdef NO_BILL_DEDUPLICATION
       adds_bill = true
#else
       adds_bill = !cached_billed[h];
       is_duplicate = cached_billed[h]
#endif
    fi
  }
}

/* Commits one entry if host h owns the partition; stores the outcome in `result`. */
inline commit_entry(kind) {
  atomic {
    if
    :: HOST_HAS_RESTARTED -> goto ended
    :: !HOST_HAS_RESTARTED && !is_committing[h] -> is_committing[h] = true
    fi;
    if
    :: phase[h] != owned -> result = not_owner
    /* The message to the owner is lost. The request cannot tell this from a commit that takes too long. */
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
    :: HOST_HAS_RESTARTED -> goto ended
    :: else
    fi;
    if
    :: result == committed && has_swapped -> update_cached_head()
    :: result == committed && !has_swapped -> phase[h] = fenced; result = not_owner
#ifdef LOST_REPLY_MEANS_FAILED
    /* The reply is lost. The owner treats the swap as failed and adopts only the version of the head. */
    :: result == committed && has_swapped -> cached_version[h] = head_version; result = not_owner
#else
    /* The reply is lost. The owner reads the head to find out whether it holds the batch of the swap. */
    :: result == committed && has_swapped && head_batch == batch_id -> update_cached_head()
    :: result == committed && has_swapped && head_batch != batch_id -> phase[h] = fenced; result = unknown_outcome
    /* The reply is lost, and the append timed out before the owner had read the head. */
    :: result == committed && has_swapped -> phase[h] = fenced; result = unknown_outcome
#endif
    :: result != committed
    fi;
    is_committing[h] = false;
    has_swapped = false
  }
}

proctype Request(byte id) {
  byte h;
  bit my_incarnation;
  byte batch_count = 0;
  byte batch_id;
  byte expected_version;
  byte swapped_version;
  byte tries = 0;
  mtype:append result;
  mtype:claim new_claim;
  byte new_request;
  bool has_swapped;
  bool must_open;
  bool adds_bill;
  bool is_duplicate;

  atomic {
    if
    :: h = 0
    :: h = 1
    fi;
    my_incarnation = incarnation[h]
  }
#ifdef SEND_BEFORE_CLAIM
  record_run();
#endif

claim:
  if
  :: tries == MAX_TRIES -> report_not_run(); goto ended
  :: else -> tries = tries + 1
  fi;
  open_partition();
  commit_entry(claim_entry);
  if
  :: result == committed -> goto send
  :: result == not_owner -> goto claim
  :: result == unknown_outcome ->
     /* The request was not sent to an endpoint, so it did not run, whether or not the claim is committed. */
     report_not_run();
     goto release
  :: result == duplicate ->
     atomic {
       if
       :: !HOST_HAS_RESTARTED && cached_claim[h] == done -> deliver_answer()
       :: !HOST_HAS_RESTARTED && cached_claim[h] == claimed && cached_request[h] == id -> goto send
       :: else /* The request is refused with `ran: unknown`. */
       fi
     };
     goto ended
  fi;

send:
#ifndef SEND_BEFORE_CLAIM
  if
  :: atomic { !HOST_HAS_RESTARTED -> record_run() }
  :: atomic { !HOST_HAS_RESTARTED -> report_not_run() }; goto release /* The endpoint refused the connection. */
  :: HOST_HAS_RESTARTED -> goto ended
  fi;
#endif
  if
  :: skip
#ifdef TIMEOUT_MEANS_NOT_RUN
  :: report_not_run(); goto release
#else
  :: goto ended /* The answer is lost. The request is refused with `ran: unknown` and keeps its claim. */
#endif
  fi;
  tries = 0;

bill:
  if
  :: tries == MAX_TRIES -> goto ended
  :: else -> tries = tries + 1
  fi;
  open_partition();
  commit_entry(outcome_and_bill_entry);
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
/* Crashes one host, which restarts without its memory. The requests on it end. */
proctype Crash() {
  byte h;
  if
  :: h = 0
  :: h = 1
  fi;
  atomic {
    incarnation[h] = 1 - incarnation[h];
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
