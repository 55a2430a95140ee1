@mesh
Feature: A store that is restored from an older copy, with real processes

  # Guards against a fence that is granted twice. All processes end just after keys have moved, and
  # the store is restored from a copy made before the move. A planner that numbers maps from what
  # the store has reads version 3 and writes version 4 again, with a fence one above that of the
  # copy, and the first grants carry fence 4 although fence 4 was in use before.
  Scenario: No fence is granted twice, even if the store has lost the map that granted it
    When the store is copied and keyed targets hand over their keys, one after the other
    And all daemons and targets are killed, the store is restored from the copy and all are restarted
    Then every key is held under a higher fence than any that it had before

  Scenario: Running daemons continue after the store is restored, and get what is written later
    When the store is copied and keyed targets hand over their keys, one after the other
    And the store is restored from the copy while requests for keys arrive
    Then all of these requests were served
    And the store has the entries of all daemons and a key map of its new era within 6 s
    When a route "/new/" is added
    Then every daemon serves "/new/" within 2 s
