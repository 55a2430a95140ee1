Feature: A planned stop while the coordinator's role moves, in virtual time

  A daemon in a planned stop gives its shards to the others and ends as soon as it has none left. A
  coordinator that has not received its heartbeats of the last second must not give it shards again:
  the daemon may have decided to end, and it then breaks the requests that it receives as the owner.

  # A new coordinator has no reports, and set the member to ACTIVE in its first plan.
  Scenario Outline: Its heartbeats reach a new coordinator <when>: cell of <count>
    Given a cell of <count> daemons, the last of which has no shards left in a planned stop
    When the role moves, and the leaving daemon's heartbeats arrive <when>
    Then no record gives the leaving daemon shards again
    And at most 2 records have been written since

    Examples:
      | when       | count |
      | 1.5 s late | 3     |
      | 1.5 s late | 4     |
      | 1.5 s late | 6     |
      | never      | 3     |
      | never      | 4     |
      | never      | 6     |

  # The member's heartbeats went to the former coordinator, and the two undid each other's records.
  Scenario Outline: Each daemon follows the new coordinator at its own moment: cell of <count>
    Given a cell of <count> daemons, the last of which has no shards left in a planned stop
    When the role moves, and the daemons follow the new coordinator 0.25 s after each other
    Then no record gives the leaving daemon shards again
    And at most 2 records have been written since

    Examples:
      | count |
      | 3     |
      | 4     |
      | 6     |

  # The former coordinator never received that the member leaves, and undid each record of the other.
  Scenario Outline: A former coordinator goes on planning: cell of <count>
    Given a cell of <count> daemons that follow a new coordinator, while the former one goes on
    When the last daemon begins a planned stop, and 2 s pass
    Then no record gives the leaving daemon shards again
    And at most 4 records have been written since

    Examples:
      | count |
      | 3     |
      | 4     |
      | 6     |

  # The only coordinator dropped the member's report after a second, and set the member to ACTIVE.
  Scenario Outline: Its heartbeats are delayed while the role stays: cell of <count>
    Given a cell of <count> daemons, the last of which has no shards left in a planned stop
    When the leaving daemon's heartbeats arrive 1.5 s late
    Then no record gives the leaving daemon shards again
    And at most 2 records have been written since

    Examples:
      | count |
      | 3     |
      | 4     |
      | 6     |

  # It read each record of its successor in a turn of its own, so that no write of it failed, and it
  # looked whether it still had the role after a failed write or at long intervals only.
  Scenario Outline: A coordinator that was replaced writes no record after its successor's first one: cell of <count>, <order>
    Given two coordinators of a cell of <count> daemons, the first of which was replaced a moment ago
    When a member that only the second one hears of leaves, and <order> in each turn
    Then the first coordinator has written no record after the second one's first

    Examples:
      | count | order                    |
      | 3     | the first one acts first |
      | 4     | the first one acts first |
      | 6     | the first one acts first |
      | 3     | the second acts first    |
      | 4     | the second acts first    |
      | 6     | the second acts first    |
