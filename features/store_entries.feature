Feature: Entries and changes in a store that is restored from an older copy, in virtual time

  # Guards against a drain that never comes into force (no drains_in_force event). The restored
  # store counts the operators' write lower than the revision up to which daemons have read
  # everything.
  Scenario: Operators' writes after the restore come into force, though the store counts them lower
    Given a fleet of 4 targets that serves
    When the store counts 20 changes, is restored from a copy made before them and failure domain "a" is drained
    Then every daemon has drained "a" after 2 s

  # Guards against lost writes. If the restored store has counted past the revision that a daemon
  # follows before the daemon asks again, nothing shows the daemon that it has missed something, and
  # it never gets what was written below that revision.
  Scenario: A daemon that was suspended gets the writes it missed, though the store counts higher again
    Given a fleet of 4 targets that serves
    When the store is restored from an older copy while daemon 3 is suspended, "a" is drained and 20 changes follow
    Then every daemon has drained "a" after 3 s

  # Guards against a target that never gets keys. It replaces another one in the seconds that the
  # store loses. If its daemon assumes that its entry is still stored, the other daemons use the
  # former target, and keys_moved never names the new one.
  Scenario: Daemons write their entries again, each under its own lease
    Given a fleet of 4 targets that serves
    When the store is copied and target 1 is replaced
    And the store is unavailable for 0.3 s and restored from the copy
    Then the store has the current entries of all daemons and targets after 2 s

  Scenario: Records of requests that crash their targets are written again
    Given a fleet of 4 targets that serves
    When the store is copied and target 1 crashes during a request
    And the store is unavailable for 0.3 s and restored from the copy
    Then the store has the crash record of target 1 after 2 s
