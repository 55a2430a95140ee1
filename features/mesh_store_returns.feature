@mesh
Feature: A store that comes back from an older copy, with real processes

  # Every process ended just after keys had moved, and the store came back from a copy from before
  # the move. The planner read the older map and wrote the lost version once more: its fence was one
  # above that of the copy, and was given out a second time. Before, all daemons logged "map":4;
  # after, "version":3 was read, "version":4 written, and the first grants carried fence 4 again.
  Scenario: No fence is given out twice though the store has lost the map that gave it
    When the store is copied and keyed targets hand over, one after the other
    And all daemons and targets are killed, the store goes back and all are started again
    Then every key is held under a fence above all that it had before
