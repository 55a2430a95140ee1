Feature: A daemon knows when it hears none of its cell

  Scenario Outline: Alone or not: <case>
    Given a daemon of a cell of <count>, of which <retired> others are given up
    When <who> is heard every 0.25 s for 4 s
    Then it is <alone>, and holds back <seconds> s before it looks for the coordinator's role

    Examples:
      | case                              | count | retired | who                   | alone     | seconds |
      | one other is heard                | 4     | 0       | another member        | not alone | 0.5     |
      | a member that was given up speaks | 4     | 1       | a member given up     | not alone | 0.5     |
      | nobody is heard                   | 4     | 0       | nobody                | alone     | 5       |
      | a daemon of another cell is heard | 4     | 0       | a stranger            | alone     | 5       |
      | only its own words come back      | 4     | 0       | itself                | alone     | 5       |
      | it is all that the record counts  | 4     | 3       | nobody                | not alone | 0.5     |
      | a cell of its own                 | 1     | 0       | nobody                | not alone | 0.5     |

  Scenario: A moment's silence is no sign of a cut
    Given a daemon of a cell of 4, of which 0 others are given up
    When another member is heard every 1.9 s for 60 s
    Then it is never alone meanwhile

  # A daemon that hears all and is heard by nobody found its coordinator silent, took the role and,
  # having it, admitted itself to the cell that had given it up: 2 to 4 of some 300 requests were
  # not served, about every 5 s.
  Scenario Outline: Who may take the role from a holder that is silent: <case>
    Given a daemon of a cell of 4, of which 0 others are given up
    And the record <counts> on this daemon
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
