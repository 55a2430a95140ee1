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

  Scenario: Daemons that live through it go on, and hear of what is written after it
    When the store is copied and keyed targets hand over, one after the other
    And the store goes back while requests for keys come
    Then all of these requests were served
    And the store has the entries of all daemons and a key map of its new era within 6 s
    When a route "/new/" is added
    Then every daemon serves "/new/" within 2 s
