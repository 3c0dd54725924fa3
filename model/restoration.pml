/*
 * Restoration of the store from an older copy: its revisions go back and are given out again, and
 * the operator repeats the changes that it has lost.
 * Models docs/platform.md, `A store that was restored` (src/libs/gateway/collectioncopy.h).
 *
 * run: restoration
 *   The store with one configuration, its operator, a copy of the store, a host that reads the
 *   store, and a second host that reads the first one and may restart. A reply may arrive late.
 *   Properties: a host's version never falls; once the operator has repeated its changes, a
 *   host that reads the store has the newest version, and so has a host that reads it.
 *
 * mutant: REVISION_ONLY restoration     a list is compared by its revision alone
 * mutant: PEER_BY_REVISION restoration  so is the state of another host
 * mutant: OLDER_STATE restoration       the restored state replaces a newer version
 * mutant: LATE_REPLY restoration        a reply of an earlier epoch is taken for one of the present epoch
 */

#define LAST_VERSION 3
#define LAST_REVISION 5
#define LAST_EPOCH 3

/* The store, and the copy from which it is restored. */
byte epoch = 1, revision = 1, version = 1;
byte copied_revision = 1, copied_version = 1;
/* Newest version that the store has acknowledged to the operator. */
byte acknowledged = 1;

/* Position and version of the host that reads the store, and of the one that reads this host. */
byte host_epoch, host_revision, host_version;
byte peer_epoch, peer_revision, peer_version;

/* A reply that is under way; epoch 0: none. */
byte late_epoch, late_revision, late_version;

inline adopt(to_epoch, to_revision, to_version) {
    host_epoch = to_epoch;
    host_revision = to_revision;
#ifdef OLDER_STATE
    assert(to_version >= host_version);
    host_version = to_version
#else
    if
    :: to_version > host_version -> host_version = to_version
    :: else
    fi
#endif
}

inline read_store() {
    if
#ifdef REVISION_ONLY
    :: revision > host_revision
#else
    :: epoch > host_epoch || (epoch == host_epoch && revision > host_revision)
#endif
        -> adopt(epoch, revision, version)
    :: else
    fi
}

inline read_host() {
    if
#ifdef PEER_BY_REVISION
    :: host_revision > peer_revision
#else
    :: host_epoch > peer_epoch ||
        (host_epoch == peer_epoch && host_revision > peer_revision)
#endif
        -> peer_epoch = host_epoch; peer_revision = host_revision;
        if
        :: host_version > peer_version -> peer_version = host_version
        :: else
        fi
    :: else
    fi
}

active proctype fleet() {
end:
    do
    :: atomic { version == acknowledged && version < LAST_VERSION && revision < LAST_REVISION ->
        version++; revision++; acknowledged = version }
    :: atomic { version < acknowledged && revision < LAST_REVISION -> version++; revision++ }
    /* Another object changes. */
    :: atomic { revision < LAST_REVISION -> revision++ }
    :: atomic { copied_revision = revision; copied_version = version }
    :: atomic { epoch < LAST_EPOCH -> epoch++; revision = copied_revision;
        version = copied_version }
    :: atomic { true -> read_store() }
    :: atomic { true -> read_host() }
    :: atomic { peer_epoch = 0; peer_revision = 0; peer_version = 0 }
    :: atomic { late_epoch == 0 -> late_epoch = epoch; late_revision = revision;
        late_version = version }
    :: atomic { late_epoch != 0 ->
        if
#ifdef LATE_REPLY
        :: host_epoch >= late_epoch && late_revision > host_revision ->
            adopt(host_epoch, late_revision, late_version)
#else
        :: late_epoch > host_epoch ||
            (late_epoch == host_epoch && late_revision > host_revision) ->
            adopt(late_epoch, late_revision, late_version)
#endif
        :: else
        fi;
        late_epoch = 0 }
    :: atomic { version == acknowledged ->
        read_store();
        assert(host_epoch == epoch && host_revision == revision);
        assert(host_version == acknowledged);
        read_host();
        assert(peer_version == acknowledged) }
    od
}
