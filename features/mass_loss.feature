Feature: Recovery from the loss of many targets

  The keys of lost owners wait for the next targets of the same instances, so that the first few
  that return do not get the keys of all.

  # Guards against a reservation that delays the usual recovery, and against lost keys that are
  # piled on too few owners.
  Scenario Outline: When keys are reserved
    Given a service of <owners> owners, all of which report
    When <lost> owners are lost, and the others would be used at <used>
    Then the keys of <reserved> owners are reserved

    Examples:
      | owners | lost | used | reserved |
      | 68     | 1    | 3    | 0        |
      | 68     | 16   | 3    | 0        |
      | 68     | 17   | 0.7  | 0        |
      | 68     | 17   | 0.8  | 17       |
      | 68     | 34   | 0.7  | 0        |
      | 68     | 35   | 0.1  | 35       |
      | 8      | 2    | 3    | 0        |
      | 8      | 3    | 3    | 3        |

  # Guards against losses that are counted together although the first were recovered before.
  Scenario: Owners that are lost one after the other
    Given a service of 68 owners, all of which report
    When one owner is lost every 0.4 s, and 30 are lost
    Then no keys are reserved at any time

  # Guards against keys that wait for targets that do not come, and against a second reservation.
  Scenario: A reservation ends at the latest after 4 s
    Given a service of 68 owners, all of which report
    When 50 owners are lost, and the others would be used at 2
    And 10 of them return after 1.5 s
    Then the keys of 40 owners are reserved until 4 s after the loss
    And no keys are reserved in the 10 s after that

  # Guards against a reservation that ends while targets still return.
  Scenario: A reservation ends 1 s after the last return if most owners are back
    Given a service of 68 owners, all of which report
    When 30 owners are lost, and the others would be used at 2
    And 10 of them return after 1.2 s
    And 10 of them return after 2 s
    Then the keys of 10 owners are reserved until 3 s after the loss

  # Guards against a wait for returns where none begin.
  Scenario: A reservation ends early if no owner returns
    Given a service of 68 owners, all of which report
    When 30 owners are lost, and the others would be used at 2
    Then the keys of 30 owners are reserved until 1.5 s after the loss

  # Guards against a change of planner that delays the levelling of load.
  Scenario: A new planner hears of most owners within its first half second
    Given a service of 68 owners, none of which has reported yet
    When 66 of them report after 0.4 s
    Then no keys are reserved after 0.4 s

  # Guards against a new planner that takes owners which it has never heard of for present: the
  # former one had reserved their keys.
  Scenario: Most owners report to a new planner at once, and a quarter does not
    Given a new planner to which 48 of 68 owners report, which would be used at 0.9
    Then the keys of 20 owners are reserved

  # Guards against a service of two owners whose keys wait for 4 s when the planner is started again and
  # one owner is lost for good: too few owners for a loss of many.
  Scenario: A new planner of a service with two owners
    Given a new planner to which 0 of 2 owners report, which would be used at 0.9
    Then the keys of 0 owners are reserved

  # Guards against a successor that has ended itself and gets the keys of the former one.
  Scenario: A successor ends in turn
    Given a service of 4 owners, none of which has reported yet
    When owner 1 is followed by "b", which is followed by "c", and only "c" reports
    Then the keys of owner 1 go to "c"

  # Guards against keys that are taken from a target which a wrong report names as ended.
  Scenario: A target that is named as ended still reports
    Given a service of 4 owners, none of which has reported yet
    When owner 1 is followed by "b", and both report
    Then the keys of owner 1 go to nobody

  # Guards against a reservation that runs out while no daemon can register.
  Scenario: No observation is made while the store is unavailable
    Given a service of 68 owners, all of which report
    When 50 owners are lost, and the others would be used at 2
    And nothing is observed for 5 s
    And 50 of them return after 6 s
    Then the keys of the 50 owners go to their successors

  # Guards against keys that move for their load during the reservation.
  Scenario: Only the keys of lost owners move
    Given a map of 6 owners with 100 requests a second each
    When owners 1 and 2 are lost, and owner 1 is followed by "b"
    Then the next map has the keys of owner 1 at "b", and all others where they were
    And owner 1 is a predecessor at "b" unless it has ended

  # Guards against the first owners that return, which got the keys of all others, and against
  # keys that are given to entries of targets that no longer run.
  Scenario: All of 68 instances lose power, and 14 return first
    Given a fleet of 68 instances in 3 failure domains that serves
    When all instances lose power for 1.3 s and 14 return 0.5 s before the others
    Then no target gets more keys than its former one had
    And no key gets another owner twice within 4 s
    And all keys are served by their instances again within 5.5 s of the loss

  Scenario: Half of the targets are killed
    Given a fleet of 24 instances in 3 failure domains that serves
    And each target gets 60 requests a second
    When the targets of 12 instances are killed, and started again after 1.2 s
    Then no target gets more keys than its former one had
    And no key gets another owner twice within 4 s
    And all keys are served by their instances again within 4.5 s of the loss

  # The planner is in failure domain a.
  Scenario Outline: One failure domain is lost
    Given a fleet of 24 instances in 3 failure domains that serves
    And each target gets 60 requests a second
    When all instances of failure domain "<domain>" lose power for 1.3 s
    Then no target gets more keys than its former one had
    And no key gets another owner twice within 4 s
    And all keys are served by their instances again within 5 s of the loss

    Examples:
      | domain |
      | a      |
      | b      |

  # Guards against a planner that places lost keys as soon as the store is back, before the lost
  # instances could register.
  Scenario: One failure domain is lost, and the store is unavailable for 3 s
    Given a fleet of 24 instances in 3 failure domains that serves
    And each target gets 60 requests a second
    When all instances of failure domain "b" lose power for 1.3 s
    And the store is unavailable for 3 s from then on
    Then all keys are served by their instances again within 6 s of the loss
    And no target had more keys than its former one

  Scenario: The planner is lost again while the others return
    Given a fleet of 24 instances in 3 failure domains that serves
    When all instances lose power for 1.3 s and 8 return 0.5 s before the others
    And the planner's instance loses power 0.9 s after the first return
    Then no target gets more keys than its former one had
    And all keys are served by their instances again within 8 s of the loss

  Scenario: The store is unavailable for 3 s after the loss
    Given a fleet of 24 instances in 3 failure domains that serves
    When all instances lose power for 1.3 s and the store is unavailable for 3 s
    Then no target gets more keys than its former one had
    And all keys are served by their instances again within 8 s of the loss

  # Guards against instances that never return, whose keys would wait for ever. The next planner is
  # active 4.6 s after the loss, when the entries have expired.
  Scenario: Half of the instances never return
    Given a fleet of 24 instances in 3 failure domains that serves
    When 13 instances are lost for good
    Then all keys are assigned to running targets within 9 s of the loss

  # Guards against a lone lost target whose keys wait for its successor.
  Scenario Outline: A lone target is replaced as fast as without the mechanism
    Given a fleet of 12 instances in 3 failure domains that serves
    When this alone happens: <event>
    Then all keys are served again as soon as with "return-to-instance" off

    Examples:
      | event                                                      |
      | the targets of 1 instance are killed and not started again |
      | the targets of 1 instance are killed, and started at once  |
      | 1 instance is lost for good                                |
      | the planner's instance is lost for good                    |
