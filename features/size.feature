Feature: What a daemon does costs no more where there are hundreds of them

  Scenario Outline: An owner's report costs the planner its own rows
    Given a table of the load of <keys> keys
    When an owner reports 8 rows to it
    Then the table takes at most 80 steps for that

    Examples:
      | keys  |
      | 100   |
      | 10000 |

  Scenario: Loads that decay forward tell what loads tell that are faded with each report
    Given a table of the load of 50 keys
    When owners report at random for 300 s, with pauses of up to 60 s
    Then each key's rate is what its faded counts give

  Scenario: A requester among hundreds compares a few targets, others for each request
    Given a daemon that knows 75 targets of a service in 5 failure domains
    When it looks 500 times for a target
    Then it compares 2 near and 2 far ones each time, and 75 in all

  Scenario: Targets that cannot be asked are not drawn while others are there
    Given a daemon that knows 75 targets of a service in 5 failure domains
    And all but 3 of them are draining or cannot be reached
    When it looks 500 times for a target
    Then only the 3 others are compared

  Scenario: What all requesters know to be fast is not chosen by all of them
    Given 195 daemons that know 75 targets, a third of them twice as fast as the others
    When each of them sends 3 requests
    Then no target gets more than 4 times its share, and the fast third more than half

  Scenario: A full target is passed over while others were not asked
    Given a target with 2 slots whose requests run 0.3 s
    When 3 requests arrive
    Then a request that may go elsewhere is refused, and one that may not waits

  Scenario: Where hardly a target has a free place nobody asks for one first, but for a few
    Given a service of whose targets 9 in 10 have a queue
    When 200 requests look for a target
    Then fewer than 60 of them ask for a place without a queue
    And when the rush is over, all of the next 100 but 40 ask for one

  Scenario: The last target that is asked may be one that said how short its queue is
    Given a request that two targets had no free slot for
    Then the next target may be one of these two
    And when that one has no room either the request is refused

  Scenario: The next version of a key map travels as what has changed
    Given a key map of 102 owners with 408 ranges, and a next one with 6 ranges moved
    When the one who wrote it tells a daemon that holds the former one
    Then that daemon has the next one, and got less than a tenth of the whole map's bytes

  Scenario Outline: A change that does not fit is refused, logged, and the whole map is asked for: <fault>
    Given a key map of 102 owners with 408 ranges, and a next one with 6 ranges moved
    When the one who wrote it tells a daemon that holds the former one, but <fault>
    Then that daemon keeps what it had, logs versions, sender and reason, and asks for the whole map
    And the whole map brings it to the next version

    Examples:
      | fault                            |
      | the daemon lacks the base        |
      | the daemon holds another base    |
      | a range of the change is missing |
      | an owner in it is another one    |
      | the message is cut short         |

  Scenario: Changes lead where whole maps lead, whatever the maps
    Then 300 random maps and their random successors differ by changes that lead from one to the other

  Scenario: What is uneven by chance among a hundred owners moves hardly a key
    Given 102 owners whose keys are asked for 1000 times a second in all, by chance
    When their load is planned for 6 s
    Then the map has fewer than 300 ranges, and no owner has 1.5 times its share

  Scenario: One owner of a hundred that has surely too much gives it to the others
    Given 102 owners whose keys are asked for 1000 times a second in all, by chance
    And the first of them is asked for 60 a second more
    When their load is planned for 6 s
    Then no owner has 1.5 times its share
