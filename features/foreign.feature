Feature: Messages and entries of other writers are validated strictly

  # The input is a mutated valid message, with fields that are missing, of another type, huge,
  # negative or nested, or with bytes that cannot be read.
  Scenario Outline: A reader returns a valid value or raises its own error: <reader>
    When valid input of the <reader> reader is mutated 400 times
    Then it returned a valid value or raised its own error each time

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

  Scenario Outline: An invalid heartbeat is refused: <fault>
    When a heartbeat is read with <fault>
    Then it is refused, and the error names <named>

    Examples:
      | fault                          | named           |
      | a state that is not named      | status.state    |
      | no state                       | status.state    |
      | slots as a text                | capacitySlots   |
      | a truth value as sequence      | status.sequence |
      | a negative cold time           | coldRemainingMs |
      | a start time that is no number | born            |
      | keys that lie outside          | holds           |
      | no address                     | address         |
      | an incarnation mark in its id  | id              |
      | a state that is deeply nested  | status.state    |
      | keys that are deeply nested    | holds           |

  # A number of more than 4,300 digits cannot be converted.
  Scenario Outline: A caller's header with a number of any length is read: <header>
    When a caller's request has a <header> header of <digits> digits
    Then it is read as if there were no such header

    Examples:
      | header      | digits |
      | Deadline-Ms | 19     |
      | Deadline-Ms | 5000   |
      | Shard-Key   | 5000   |

  Scenario: Heartbeats of another service leave the local target unchanged and are logged once
    Given a daemon with a local target of "roster-app" that sends heartbeats
    When 3 heartbeats of a target of "somebody-else" arrive
    Then the daemon still has its own target, which holds keys
    And it has logged one heartbeat that cannot be read

  Scenario Outline: Load that a target reports: <header>
    When a response reports the load "<header>"
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

  Scenario Outline: A daemon rewrites its entry within two seconds after another writer corrupts it: <how>
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When the entry of daemon 1 is overwritten with <how>
    Then daemon 1 has its own entry again after 2 s
    And no key changed its holder meanwhile

    Examples:
      | how                        |
      | bytes that cannot be read  |
      | the entry of daemon 2      |
      | a state that is not named  |
      | another address            |

  Scenario Outline: A key map that another writer corrupts never replaces a valid one: <when>
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When the key map is corrupted <when>
    Then every key is served after <seconds> s more
    And the store again has a key map that all daemons know

    Examples:
      | when                               | seconds |
      | and a target is lost               | 3       |
      | and the planner is started again   | 3       |
      | and all daemons are started again  | 9       |
