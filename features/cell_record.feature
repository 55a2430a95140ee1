Feature: The next record of a cell

  Scenario: A cell of which all members were taken for lost takes back those that report
    Given a cell of 4 members that were all taken for lost
    When 3 of them report again and the next record is planned
    Then those 3 are members again and own every shard between them
    And every shard still waits for each earlier owner but the new one
    And the fourth owns nothing

  Scenario: Nobody is taken back who has certainly ended
    Given a cell of 4 members that were all taken for lost
    When 3 of them report again though the first of them has certainly ended
    Then only the other 2 are members again

  Scenario: While somebody can own shards, a retired member does not return by itself
    Given a cell of 4 members of which one was taken for lost
    When that one reports again and the next record is planned
    Then it stays retired as long as a shard names it

  Scenario Outline: The shards of a member that was replaced wait for its successor: <case>
    Given a coordinator of a cell of 3 members that are waited for 8 s
    When a greeting shows that the first has been replaced, and <seconds> s later <who> reported
    Then the first one's shards are given to <whom>

    Examples:
      | case                      | seconds | who               | whom          |
      | it has not reported yet   | 1       | nobody has        | nobody else   |
      | it reports                | 1       | the successor has | the successor |
      | it does not come          | 9       | nobody has        | the others    |

  Scenario: The shards of a member whose instance is gone for good wait for nobody
    Given a coordinator of a cell of 3 members that are waited for 8 s
    When an operator says that the first has ended
    Then the first one's shards are given to the others
