Feature: A target that restarts under its id, in virtual time

  The new incarnation holds no keys, has no state of the former one and starts its heartbeat numbers
  again. The oracle checks every tick for two holders of a key, and for a fence that does not rise.

  Scenario Outline: It owns its keys again, under higher fences: <way>, <report>
    Given <way>
    And targets that <report> their start time
    And a fleet of 4 targets that serves
    When target 1 restarts under its id
    Then every key is served after <seconds> s
    And the daemon of target 1 distinguishes its two incarnations

    Examples:
      | report        | way                                   | seconds |
      | report        | targets that take keys by heartbeats  | 5       |
      | do not report | targets that take keys by heartbeats  | 9       |
      | report        | targets that take their keys by calls | 5       |

  Scenario: Only its later incarnation reports its start time
    Given targets that do not report their start time
    And a fleet of 4 targets that serves
    When target 1 restarts under its id, start time reported
    Then every key is served after 9 s
    And the daemon of target 1 distinguishes its two incarnations

  Scenario: It restarts repeatedly
    Given targets that report their start time
    And a fleet of 4 targets that serves
    When target 1 restarts under its id 3 times, 1 s apart
    Then every key is served after 6 s

  Scenario Outline: A late heartbeat of the former incarnation changes nothing, in either order: <order>
    Given targets that report their start time
    And a fleet of 4 targets that serves
    When target 1 restarts under its id, and one heartbeat of its former incarnation arrives <order>
    Then every key is served after 6 s
    And the daemon of target 1 knows its newer incarnation

    Examples:
      | order                   |
      | 0.3 s after its first   |
      | 3 s after its first     |
      | just before its first   |

  Scenario: Its daemon restarts at the same time
    Given targets that report their start time
    And a fleet of 4 targets that serves
    When target 1 restarts under its id, and its daemon at the same moment
    Then every key is served after 7 s

  Scenario: Heartbeats that are delayed together are not taken for those of a new incarnation
    Given a daemon that has received heartbeats 1 to 9 of "t"
    When heartbeats 3 and 4 arrive late at the same moment
    Then both are recognised as late
    And heartbeat 10 belongs to "t"

  Scenario: A heartbeat of an older incarnation is late, whatever its number
    Given a daemon that has received heartbeats 1 to 9 of "t" with start time 5000
    Then heartbeat 40 with start time 4000 is late
    And heartbeat 1 with start time 6000 belongs to "t~6000"
    And heartbeat 10 with start time 5000 is late

  Scenario: Heartbeats of one incarnation of which only some report its start time
    Given a daemon that has received heartbeats 1 to 9 of "t"
    Then heartbeat 10 with start time 5000 belongs to "t"
    And heartbeat 11 belongs to "t"

  # Guards against a fence under which two incarnations hold a key. A target's process ends and
  # restarts at once under the same id, and a call that renews its keys reaches the new process
  # before the daemon has its first heartbeat. As the call names only the id, the new incarnation
  # would hold key 16384 under fence 1, as the former one did.
  Scenario: A renewal by call does not reach the next incarnation of a target under the former one's fence
    Given targets that take their keys by calls
    And targets that report their start time
    And a fleet of 4 targets that serves
    When 0.9 s pass and target 1 restarts under its id
    Then every key is served after 5 s
