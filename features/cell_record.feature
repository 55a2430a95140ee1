Feature: The next record of a cell

  Scenario: A cell whose members were all declared lost readmits those that report
    Given a cell of 4 members that were all declared lost
    When 3 of them report again and the next record is planned
    Then those 3 are members again and together own every shard
    And every shard still waits for each earlier owner except the new owner
    And the fourth owns nothing

  Scenario: A member that is known to have ended is not readmitted
    Given a cell of 4 members that were all declared lost
    When 3 of them report again although the first of them is known to have ended
    Then only the other 2 are members again

  Scenario: While another member can own shards, a retired member is not readmitted when it reports
    Given a cell of 4 members of which one was declared lost
    When that one reports again and the next record is planned
    Then it stays retired while a shard names it

  Scenario Outline: The shards of a member that was replaced wait for its successor: <case>
    Given a coordinator of a cell of 3 members that waits 8 s for a successor
    When a greeting shows that the first member was replaced, and <seconds> s later <who> reported
    Then the first member's shards are given to <whom>

    Examples:
      | case                       | seconds | who               | whom          |
      | it has not reported yet    | 1       | nobody has        | nobody else   |
      | it reports                 | 1       | the successor has | the successor |
      | it does not report in time | 9       | nobody has        | the others    |

  Scenario: The shards of a member that an operator reports as ended are reassigned without a wait
    Given a coordinator of a cell of 3 members that waits 8 s for a successor
    When an operator reports that the first member has ended
    Then the first member's shards are given to the others

  # A coordinator that had no heartbeat of a member read its absence as the end of the drain.
  Scenario Outline: A member that gives up its shards gets none back from a new coordinator: <reason>
    Given a cell of 4 members of which the first gives up its shards, as <reason>
    When a new coordinator plans before the first member has reported to it
    Then the first member gets no shards
    When the first member still reports that <reason>
    Then the first member gets no shards
    When the first member reports that it can serve
    Then the first member gets <then> shards

    Examples:
      | reason                          | then |
      | it is in a planned stop         | no   |
      | it reaches no other daemon      | its  |
      | its server does not respond     | its  |

  # The new coordinator's own heartbeat came first and made it the only active member, so that all
  # shards moved to it and back.
  Scenario: Members that all drained keep their shards when the role moves as the cause ends
    Given a cell of 4 members that all drain, as their servers do not respond
    When a new coordinator gets the heartbeats of members that can serve, one every 0.1 s
    Then every member is active and no shard has moved

  # In a cell of three an owner is one of its own witnesses, and a coordinator that had not had its
  # heartbeat yet counted that as one of the two votes by which the owner was lost.
  Scenario: A member whose first heartbeat to a new coordinator is late is not declared lost
    Given a cell of 3 members, and one of the first member's witnesses receives nothing from it
    When a new coordinator plans for 0.9 seconds without a heartbeat of the first member
    Then the first member gets its shards
    When that coordinator plans for 0.5 seconds more
    Then the first member gets no shards

  Scenario: A daemon of an earlier version reads a record that names planned stops, and the reverse
    Given a cell of 4 members of which the first gives up its shards, as it is in a planned stop
    Then each stored member has the fields that an earlier version requires
    And the record without the list of planned stops has a draining member that may return
