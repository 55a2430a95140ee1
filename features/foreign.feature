Feature: What other writers send or write is read strictly

  # Mutated valid messages: fields missing, of another type, huge, negative or nested, and bytes
  # that cannot be read.
  Scenario Outline: A reader gives a valid value or its own error, and nothing else: <reader>
    When valid input of the <reader> reader is mutated 400 times
    Then it gave valid values or its own error each time

    Examples:
      | reader         |
      | heartbeat      |
      | member         |
      | holder         |
      | key map        |
      | key map change |
      | configuration  |
      | drain          |
      | crash          |
      | answer's load  |
      | store's item   |
      | control        |
      | greeting       |
      | request        |
      | answer         |

  Scenario Outline: A heartbeat that names no target to use: <fault>
    When a heartbeat is read with <fault>
    Then it is refused, and the error names <named>

    Examples:
      | fault                        | named           |
      | a state that is not named    | status.state    |
      | no state                     | status.state    |
      | slots as a text              | capacitySlots   |
      | a truth value as sequence    | status.sequence |
      | a negative cold time         | coldRemainingMs |
      | a birth that is no number    | born            |
      | keys that lie outside        | holds           |
      | no address                   | address         |
      | a mark of a life in its id   | id              |

  Scenario: A heartbeat of another service names no target, and is told of once
    Given a daemon beside a target of "roster-app" that beats
    When 3 heartbeats of a target of "somebody-else" come
    Then the daemon still serves its target
    And it has logged one heartbeat that cannot be read

  Scenario Outline: What a target tells of its load: <header>
    When an answer says that its load is "<header>"
    Then it is read as <meaning>

    Examples:
      | header        | meaning                               |
      | 3,1,8         | 3 running, 1 waiting, 8 slots         |
      | 3,1,8,150     | the same, and 1.5 times as long       |
      | 3,1,8,150,7,9 | the same, and 1.5 times as long       |
      | 3,1           | nothing                               |
      | 3,1,x         | nothing                               |
      | 3,1,8,-5      | nothing                               |
      | 3,,8          | nothing                               |

  # -- entries in the store ----------------------------------------------------------------

  Scenario Outline: An own entry that another writer spoils is written again within two seconds: <how>
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When the entry of daemon 1 is written over with <how>
    Then daemon 1 has its own entry again after 2 s
    And no key changed its holder meanwhile

    Examples:
      | how                        |
      | bytes that cannot be read  |
      | the entry of daemon 2      |
      | a state that is not named  |
      | another address            |

  Scenario Outline: A key map that another writer spoils never replaces a good one: <when>
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When the key map is spoiled <when>
    Then every key is served after <seconds> s more
    And the store has a key map again that all daemons know

    Examples:
      | when                               | seconds |
      | and a target is lost               | 3       |
      | and the planner is started again   | 3       |
      | and all daemons are started again  | 9       |
