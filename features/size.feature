Feature: The cost of a daemon's work does not grow with the size of the fleet

  Scenario Outline: The planner's cost of a report depends only on the rows of the report
    Given a table of the load of <keys> keys
    When an owner reports 8 rows to it
    Then the table executes at most 80 lines of code for that

    Examples:
      | keys  |
      | 100   |
      | 10000 |

  Scenario: Loads with forward decay equal loads that are decayed at each report
    Given a table of the load of 50 keys
    When owners report at random for 300 s, with pauses of up to 60 s
    Then each key's rate equals the rate given by its decayed counts

  Scenario: A daemon compares a few targets, drawn anew for each request
    Given a daemon that knows 75 targets of a service in 5 failure domains
    When it draws candidates 500 times
    Then it compares 2 near and 2 far ones each time, and 75 in all

  Scenario: Unavailable targets are not drawn while others are available
    Given a daemon that knows 75 targets of a service in 5 failure domains
    And all but 3 of them are draining or cannot be reached
    When it draws candidates 500 times
    Then only the 3 others are compared

  Scenario: Targets that all daemons know to be fast are not chosen by all of them
    Given 195 daemons that know 75 targets, a third of them twice as fast as the others
    When each of them sends 3 requests
    Then no target gets more than 4 times its share, and the fast third more than half

  Scenario: A full target refuses a request that may go to another target
    Given a target with 2 slots whose requests run 0.3 s
    When 3 requests arrive
    Then a request that may go elsewhere is refused, and one that may not waits

  Scenario: When few targets have a free slot, only a few requests probe for one first
    Given a service in which 9 of 10 targets have a queue
    When 200 requests look for a target
    Then fewer than 60 of them probe for a free slot
    And once every target has a free slot, of the next 100 requests all but at most 40 probe for one

  Scenario: The last attempt for a slot may go to a target that has already refused
    Given a request that two targets refused for lack of a free slot
    Then the next target may be one of these two
    And when that target has no free slot either, the request is given up

  Scenario: The next version of a key map is sent as a change
    Given a key map of 102 owners with 408 ranges, and a next one with 6 ranges moved
    When its writer sends it to a daemon that holds the former map
    Then that daemon has the next map, and received less than a tenth of the full map's bytes

  Scenario Outline: A change that cannot be applied is refused and logged, and the full map is asked for: <fault>
    Given a key map of 102 owners with 408 ranges, and a next one with 6 ranges moved
    When its writer sends it to a daemon that holds the former map, but <fault>
    Then that daemon keeps its map, logs versions, sender and reason, and asks for the full map
    And the full map brings it to the next version

    Examples:
      | fault                            |
      | the daemon lacks the base        |
      | the daemon holds another base    |
      | a range of the change is missing |
      | an owner in it is another one    |
      | the message is cut short         |

  Scenario: Changes give the same key maps as full maps do
    Then for 300 random maps and random successors, applying the change from one to the other gives the other

  Scenario: Random variation among a hundred owners moves few keys
    Given 102 owners whose keys get 1000 requests a second in all, at random
    When their load is planned for 6 s
    Then the map has fewer than 300 ranges, and no owner has 1.5 times its share

  Scenario: An owner of a hundred with significantly more load gives it to the others
    Given 102 owners whose keys get 1000 requests a second in all, at random
    And the first of them gets 60 requests a second more
    When their load is planned for 6 s
    Then no owner has 1.5 times its share
