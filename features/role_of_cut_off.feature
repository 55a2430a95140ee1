Feature: The role of a coordinator that is cut off passes to another daemon

  A coordinator that is cut off from its peers and reaches the store keeps its key there. While it
  has the role, the cell has no plan. A daemon whose record names no other witness, or that the
  record does not name, requests no renewals, and so got no replies that prove that it is in contact.
  Each such daemon then left the role to the others. The log shows "role-kept-by-holder" at all of
  them for as long as the cut lasts.

  Scenario Outline: A holder that is cut off is replaced: <case>
    Given a cell whose record names <members>, and beside it <joining> daemons
    And the first daemon has the coordinator's role, and all have been silent for 3 s
    When these links fail: <links>
    Then within 6 s another daemon has the role
    And for 20 s the first daemon does not take it

    Examples:
      | case                                                 | members                            | joining  | links                |
      | its own only witness, the others not in it           | active, alone                      | 2 new    | from 0, to 0         |
      | its own only witness, the others removed from it     | active, alone                      | 2 former | from 0, to 0         |
      | its own only witness, one other not in it            | active, alone                      | 1 new    | from 0, to 0         |
      | its own only witness, the others retired             | active, alone, retired, retired    | 0 new    | from 0, to 0         |
      | draining, the others retired                         | active, draining, retired, retired | 0 new    | from 0, to 0         |
      | draining, the others not in it                       | active, draining                   | 2 new    | from 0, to 0         |
      | the others are retired                               | active, retired, retired           | 0 new    | from 0, to 0         |
      | the others are removed from it                       | active                             | 2 former | from 0, to 0         |
      | the only active one receives nothing                 | active, alone, retired, retired    | 0 new    | from 0, to 0, to 1   |
      | the only active one reaches nobody                   | active, alone, retired, retired    | 0 new    | from 0, to 0, from 1 |
      | all have other witnesses                             | active, active, active, active     | 0 new    | from 0, to 0         |
      | the holder hears the others, and they do not hear it | active, alone                      | 2 new    | from 0               |

  # Daemons of the former build request no replies, but reply to renewals.
  Scenario Outline: A daemon takes the role beside daemons that request no replies: <case>
    Given a cell whose record names <members>, and beside it <joining> daemons
    And only the second daemon requests replies
    And the first daemon has the coordinator's role, and all have been silent for 3 s
    When these links fail: from 0, to 0
    Then within 6 s another daemon has the role
    And for 20 s the first daemon does not take it

    Examples:
      | case                 | members                         | joining  |
      | the others retired   | active, alone, retired, retired | 0 new    |
      | the others not in it | active, alone                   | 2 former |

  # Guards against a daemon that takes the role from a holder that the others hear.
  Scenario Outline: A daemon that is cut off leaves the role to its holder: <case>
    Given a cell whose record names <members>, and beside it <joining> daemons
    And the first daemon has the coordinator's role, and all have been silent for 3 s
    When these links fail: <links>
    Then for 20 s the first daemon has the role

    Examples:
      | case                                                | members                         | joining  | links        |
      | active, cut off                                     | active, active, active, active  | 0 new    | from 1, to 1 |
      | active, reaches nobody                              | active, active, active, active  | 0 new    | from 1       |
      | its own only witness, cut off                       | active, alone, retired, retired | 0 new    | from 1, to 1 |
      | its own only witness, reaches nobody                | active, alone                   | 2 new    | from 1       |
      | its own only witness, receives nothing              | active, alone                   | 2 new    | to 1         |
      | retired, cut off                                    | active, retired, active, active | 0 new    | from 1, to 1 |
      | retired, reaches nobody                             | active, retired, active, active | 0 new    | from 1       |
      | retired, only the holder is active, reaches nobody  | active, retired, retired        | 0 new    | from 1       |
      | removed, only the holder is active, reaches nobody  | active                          | 2 former | from 1       |
      | not in the record, cut off                          | active, active, active          | 1 new    | from 3, to 3 |
      | not in the record, reaches nobody                   | active, active, active          | 1 new    | from 3       |
      | not in the record, receives nothing                 | active, active, active          | 1 new    | to 3         |
      | retired, cut off from the holder only               | active, retired, active, active | 0 new    | between 0 1  |
      | not in the record, cut off from the holder only     | active, active, active          | 1 new    | between 0 3  |

  # Guards against replies from before the cut: the daemon took the role within 2 s of it, and the
  # cell had no coordinator until another daemon took it back.
  Scenario Outline: A daemon leaves the role to its holder from the moment that it is cut off: <case>
    Given a cell whose record names <members>, and beside it 0 new daemons
    And the first daemon has the coordinator's role, and all have been silent for 3 s
    And the daemons have run for <seconds> s
    When these links fail: <links>
    Then for 20 s the first daemon has the role

    Examples:
      | case                            | members                        | seconds | links        |
      | a cell of four, cut off         | active, active, active, active | 5       | from 1, to 1 |
      | a cell of four, at another time | active, active, active, active | 5.15    | from 2, to 2 |
      | a cell of four, reaches nobody  | active, active, active, active | 5       | from 1       |
      | a cell of three, cut off        | active, active, active         | 5       | from 1, to 1 |
      | a cell of two, cut off          | active, alone                  | 5       | from 1, to 1 |
