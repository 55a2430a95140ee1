Feature: A daemon detects that it is isolated from its cell

  Scenario Outline: Isolated or not: <case>
    Given a daemon of a cell of <count>, of which <retired> others are retired
    When <who> is heard every 0.25 s for 4 s
    Then it is <alone>, and waits <seconds> s before it tries to acquire the coordinator's role

    Examples:
      | case                              | count | retired | who                   | alone     | seconds |
      | one other is heard                | 4     | 0       | another member        | not alone | 0.5     |
      | a member that was given up speaks | 4     | 1       | a member given up     | not alone | 0.5     |
      | nobody is heard                   | 4     | 0       | nobody                | alone     | 5       |
      | a daemon of another cell is heard | 4     | 0       | a stranger            | alone     | 5       |
      | only its own words come back      | 4     | 0       | itself                | alone     | 5       |
      | it is all that the record counts  | 4     | 3       | nobody                | not alone | 0.5     |
      | a cell of its own                 | 1     | 0       | nobody                | not alone | 0.5     |

  Scenario: A short silence does not make a daemon isolated
    Given a daemon of a cell of 4, of which 0 others are retired
    When another member is heard every 1.9 s for 60 s
    Then it is never isolated meanwhile

  # Guards against a daemon that receives all messages while its own are lost. Its coordinator does not
  # reply, so it takes the role and readmits itself to the cell that has retired it, which leaves some
  # requests unserved about every 5 s.
  Scenario Outline: Which daemons may take the coordinator's role from a silent holder: <case>
    Given a daemon of a cell of 4, of which 0 others are retired
    And the record <counts> this daemon as an active member
    When <who> is heard every 0.25 s for 4 s, and <answers>
    Then it <may> take the coordinator's role from a silent holder

    Examples:
      | case                                     | counts         | who            | answers         | may     |
      | the coordinator has ended                | counts         | another member | answers it      | may     |
      | nobody hears it                          | counts         | another member | answers nothing | may not |
      | given up, and the others go on           | does not count | another member | answers nothing | may not |
      | given up, and all have been started anew | does not count | a successor    | answers nothing | may     |
      | alone                                    | counts         | nobody         | answers nothing | may not |
      | given up and alone                       | does not count | nobody         | answers nothing | may not |
