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
