Feature: Two owners of a key are impossible while witness sets change

  Guards against two owners after a change of the witness set whose versions some daemons have not
  received. An owner in a cell of three is draining while one of its requests runs. The record
  changes its witnesses from all three to itself alone, by way of a version in which both sets
  count; the owner confirms that version and is cut off. The other two have received neither
  version. By the one on which they act, a majority of the three is enough: they release the owner,
  and one serves the key while the owner, whose lease only it renews, still runs the request. In the
  replay the stored record is at version 6, the owner acts on it, and both others count votes for
  version 4. The state machine of ownership finds this (seed 3, 3,000 examples) if an owner can be
  cut off while others are frozen.

  Scenario: The owner's former witnesses have not received the record that replaces them
    Given a cell of 3 daemons, of which the first runs requests and is draining
    And the first takes the coordinator's role several times
    When one other is frozen until the record retires it, the first is cut off, and the other is resumed
    Then for 3 seconds no key has two owners that can act on it

  Scenario: A former witness set counts until the owner has released the keys that were taken
    Given an owner whose witnesses are being changed from "a b c" to "a"
    When the owner reports that it has released the keys that an older record took
    Then the former witnesses still count
    When the owner reports that it has released the keys that this record took
    Then the former witnesses no longer count

  Scenario: Former witnesses that have all ended do not block the owner
    Given a cell of 3 daemons that serves every key
    When both others have ended, and an operator releases them
    Then within 3 seconds the first serves every key
