Feature: A target that starts again under its id, in virtual time

  It holds and knows nothing of before, and counts its heartbeats anew. The oracle looks at
  every tick for two holders of a key, and for a fence that does not rise.

  Scenario Outline: It owns its keys again, under higher fences: <way>, <told>
    Given <way>
    And targets that <told> when they were born
    And a fleet of 4 targets that serves
    When target 1 starts again under its id
    Then every key is served after <seconds> s
    And the daemon beside target 1 knows two lives of it

    Examples:
      | told        | way                                   | seconds |
      | tell        | targets that take keys by heartbeats  | 5       |
      | do not tell | targets that take keys by heartbeats  | 9       |
      | tell        | targets that take their keys by calls | 5       |

  Scenario: Only its later life tells when it was born
    Given targets that do not tell when they were born
    And a fleet of 4 targets that serves
    When target 1 starts again under its id, born told
    Then every key is served after 9 s
    And the daemon beside target 1 knows two lives of it

  Scenario: It starts again over and over
    Given targets that tell when they were born
    And a fleet of 4 targets that serves
    When target 1 starts again under its id 3 times, 1 s apart
    Then every key is served after 6 s

  Scenario Outline: A late heartbeat of the former life changes nothing, in either order: <order>
    Given targets that tell when they were born
    And a fleet of 4 targets that serves
    When target 1 starts again under its id, and one heartbeat of its former life comes <order>
    Then every key is served after 6 s
    And the daemon beside target 1 knows the newer life

    Examples:
      | order                   |
      | 0.3 s after its first   |
      | 3 s after its first     |
      | just before its first   |

  Scenario: Its daemon is started again in between
    Given targets that tell when they were born
    And a fleet of 4 targets that serves
    When target 1 starts again under its id, and its daemon at the same moment
    Then every key is served after 7 s

  Scenario: Heartbeats that are held up together are not taken for a new life
    Given a daemon that has heard heartbeats 1 to 9 of "t"
    When heartbeats 3 and 4 come late at the same moment
    Then both are late ones
    And heartbeat 10 is of "t"

  Scenario: A heartbeat of an older life is late, whatever it counts
    Given a daemon that has heard heartbeats 1 to 9 of "t" born at 5000
    Then heartbeat 40 born at 4000 is late
    And heartbeat 1 born at 6000 is of "t~6000"
    And heartbeat 10 born at 5000 is late

  Scenario: Heartbeats of one life that say only at times when it was born
    Given a daemon that has heard heartbeats 1 to 9 of "t"
    Then heartbeat 10 born at 5000 is of "t"
    And heartbeat 11 is of "t"

  # A target's process ended and stood again at once, under the same id, and a renewal of its keys by
  # a call reached it before its first heartbeat reached the daemon: the call names the id alone. The
  # new life held key 16384 under fence 1, under which the former one had had it.
  Scenario: A renewal by call does not reach the next life of a target under the former one's fence
    Given targets that take their keys by calls
    And targets that tell when they were born
    And a fleet of 4 targets that serves
    When 0.9 s pass and target 1 starts again under its id
    Then every key is served after 5 s
