Feature: A daemon detects that it is isolated from its cell

  Scenario Outline: Isolated or not: <case>
    Given a daemon of a cell of <count>, of which <retired> others are retired
    When <who> is heard every 0.25 s for 4 s
    Then it is <isolated>, and waits <seconds> s before it tries to acquire the coordinator's role

    Examples:
      | case                              | count | retired | who              | isolated     | seconds |
      | one other is heard                | 4     | 0       | another member   | not isolated | 0.5     |
      | a retired member is heard         | 4     | 1       | a retired member | not isolated | 0.5     |
      | nobody is heard                   | 4     | 0       | nobody           | isolated     | 5       |
      | a daemon of another cell is heard | 4     | 0       | a stranger       | isolated     | 5       |
      | only its own messages arrive      | 4     | 0       | itself           | isolated     | 5       |
      | it is all that the record counts  | 4     | 3       | nobody           | not isolated | 0.5     |
      | a cell of its own                 | 1     | 0       | nobody           | not isolated | 0.5     |

  Scenario: A short silence does not make a daemon isolated
    Given a daemon of a cell of 4, of which 0 others are retired
    When another member is heard every 1.9 s for 60 s
    Then it is never isolated meanwhile

  # Guards against a daemon that receives all messages while its own are lost. Its coordinator does
  # not reply, so it takes the role and readmits itself to the cell that has retired it, which
  # leaves some requests unserved about every 5 s.
  Scenario Outline: Which daemons may take the coordinator's role from a silent holder: <case>
    Given a daemon of a cell of 4, of which 0 others are retired
    And the record <counts> this daemon as an active member
    When <who> is heard every 0.25 s for 4 s, and <reply>
    Then it <may> take the coordinator's role from a silent holder

    Examples:
      | case                                 | counts         | who            | reply          | may     |
      | the coordinator has ended            | counts         | another member | replies        | may     |
      | nobody hears it                      | counts         | another member | does not reply | may not |
      | retired, and the others continue     | does not count | another member | does not reply | may not |
      | retired, and all have been restarted | does not count | a successor    | does not reply | may     |
      | isolated                             | counts         | nobody         | does not reply | may not |
      | retired and isolated                 | does not count | nobody         | does not reply | may not |
