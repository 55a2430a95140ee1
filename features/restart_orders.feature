Feature: A target restarts under its id while its daemon is away, in virtual time

  The targets do not report their start time. The oracle checks every tick for two holders of a key,
  and that no process holds a key under a fence that a former one had.

  # Guards against a fence under which two processes hold a key: a daemon that was restarted took the
  # first heartbeat under an id for one of the process that it had served before.
  Scenario Outline: The new process owns its keys under higher fences: <order> (<way>)
    Given <way>
    And <count> targets in two failure domains that have served for 6 s
    When these follow each other: <order>
    Then every key is served after 12 s

    Examples: targets that take keys by heartbeats
      | way                                  | count | order                                                  |
      | targets that take keys by heartbeats | 4     | target 1 restarts                                      |
      | targets that take keys by heartbeats | 2     | target 1 restarts; daemon 1 restarts                   |
      | targets that take keys by heartbeats | 4     | target 1 restarts; 0.06 s; daemon 1 restarts           |
      | targets that take keys by heartbeats | 4     | target 1 restarts; 0.5 s; daemon 1 restarts            |
      | targets that take keys by heartbeats | 4     | target 1 restarts; 1.5 s; daemon 1 restarts            |
      | targets that take keys by heartbeats | 4     | target 1 restarts; 6 s; daemon 1 restarts              |
      | targets that take keys by heartbeats | 4     | daemon 1 ends; target 1 restarts; daemon 1 restarts    |
      | targets that take keys by heartbeats | 4     | daemon 0 ends; 0.5 s; target 0 restarts; 0.5 s; daemon 0 restarts |
      | targets that take keys by heartbeats | 2     | daemon 0 ends; 3 s; target 0 restarts; 3 s; daemon 0 restarts |
      | targets that take keys by heartbeats | 4     | daemon 0 ends; 3 s; target 0 restarts; 9 s; daemon 0 restarts |
      | targets that take keys by heartbeats | 4     | all daemons restart; target 1 restarts                 |
      | targets that take keys by heartbeats | 4     | all daemons restart; 0.06 s; target 1 restarts         |
      | targets that take keys by heartbeats | 4     | all daemons restart; 0.5 s; target 1 restarts          |
      | targets that take keys by heartbeats | 4     | all daemons end; all targets restart; all daemons restart |
      | targets that take keys by heartbeats | 2     | all daemons end; all targets restart; 0.5 s; all daemons restart |
      | targets that take keys by heartbeats | 4     | all daemons end; all targets restart; 3 s; all daemons restart |
      | targets that take keys by heartbeats | 4     | all daemons end; all targets restart; 9 s; all daemons restart |
      | targets that take keys by heartbeats | 4     | target 1 restarts; 2.5 s; target 1 restarts; daemon 1 restarts |
      | targets that take keys by heartbeats | 4     | all daemons freeze; target 1 restarts; 7 s; all daemons thaw |
      | targets that take keys by heartbeats | 4     | the store fails; target 1 restarts; 0.5 s; daemon 1 restarts; 8 s; the store recovers |

    Examples: targets that take their keys by calls
      | way                                   | count | order                                                 |
      | targets that take their keys by calls | 4     | target 1 restarts                                     |
      | targets that take their keys by calls | 2     | target 1 restarts; daemon 1 restarts                  |
      | targets that take their keys by calls | 4     | target 1 restarts; 0.06 s; daemon 1 restarts          |
      | targets that take their keys by calls | 4     | target 1 restarts; 0.5 s; daemon 1 restarts           |
      | targets that take their keys by calls | 4     | target 1 restarts; 1.5 s; daemon 1 restarts           |
      | targets that take their keys by calls | 4     | target 1 restarts; 3 s; daemon 1 restarts             |
      | targets that take their keys by calls | 4     | target 1 restarts; 6 s; daemon 1 restarts             |
      | targets that take their keys by calls | 4     | daemon 1 ends; target 1 restarts; daemon 1 restarts   |
      | targets that take their keys by calls | 4     | daemon 0 ends; 0.5 s; target 0 restarts; 0.5 s; daemon 0 restarts |
      | targets that take their keys by calls | 2     | daemon 0 ends; 3 s; target 0 restarts; 3 s; daemon 0 restarts |
      | targets that take their keys by calls | 4     | daemon 0 ends; 3 s; target 0 restarts; 9 s; daemon 0 restarts |
      | targets that take their keys by calls | 4     | all daemons restart; target 1 restarts                |
      | targets that take their keys by calls | 4     | all daemons restart; 0.06 s; target 1 restarts        |
      | targets that take their keys by calls | 4     | all daemons restart; 0.5 s; target 1 restarts         |
      | targets that take their keys by calls | 4     | all daemons end; all targets restart; all daemons restart |
      | targets that take their keys by calls | 2     | all daemons end; all targets restart; 0.5 s; all daemons restart |
      | targets that take their keys by calls | 4     | all daemons end; all targets restart; 3 s; all daemons restart |
      | targets that take their keys by calls | 4     | all daemons end; all targets restart; 9 s; all daemons restart |
      | targets that take their keys by calls | 4     | target 1 restarts; 2.5 s; target 1 restarts; daemon 1 restarts |
      | targets that take their keys by calls | 4     | target 1 is replaced; 2.5 s; target 1 restarts        |
      | targets that take their keys by calls | 4     | all daemons freeze; target 1 restarts; 7 s; all daemons thaw |
      | targets that take their keys by calls | 4     | the store fails; target 1 restarts; 0.5 s; daemon 1 restarts; 8 s; the store recovers |
      | targets that take their keys by calls | 4     | the store fails; target 1 restarts; 8 s; the store recovers |
      | targets that take their keys by calls | 4     | a heartbeat of target 1 is delayed by 0.05 s; target 1 restarts |
      | targets that take their keys by calls | 4     | a heartbeat of target 1 is delayed by 0.5 s; target 1 restarts |
      | targets that take their keys by calls | 4     | a heartbeat of target 1 is delayed by 1.5 s; target 1 restarts |

  # The next process's first heartbeat is delayed, so that the first one received has a higher count than
  # the last one of a process that had sent one heartbeat only.
  Scenario Outline: A target that restarts right after its first keys: <way>
    Given <way>
    And 2 targets in two failure domains that have served for 6 s
    When these follow each other: target 0 is replaced; all daemons restart; 1 s; target 0 restarts; a heartbeat of target 0 is delayed by 1.5 s
    Then every key is served after 12 s

    Examples:
      | way                                   |
      | targets that take keys by heartbeats  |
      | targets that take their keys by calls |

  # Guards against two holders of a key: a process that is too young to be recognised, by calls, is
  # presumed to be the next one. A daemon that was restarted again took the former one's end for certain.
  Scenario Outline: A young process that outlives several daemons shares no key with others: <order> (<count>)
    Given targets that take their keys by calls
    And <count> targets in two failure domains that have served for 6 s
    When these follow each other: <order>
    Then every key is served after 12 s

    Examples:
      | count | order                                                                              |
      | 2     | target 1 is replaced; 1.5 s; daemon 1 restarts; 0.5 s; daemon 1 restarts           |
      | 4     | target 1 is replaced; 1.5 s; daemon 1 restarts; 0.5 s; daemon 1 restarts           |
      | 2     | target 1 is replaced; 3 s; daemon 1 restarts; 1 s; daemon 1 restarts               |
      | 4     | target 1 is replaced; 3 s; daemon 1 restarts; 1 s; daemon 1 restarts               |
      | 4     | target 1 is replaced; 1.5 s; daemon 1 restarts; 0.2 s; daemon 1 restarts; 0.2 s; daemon 1 restarts |

  # A restart of daemons alone must cost their targets nothing.
  Scenario Outline: Targets that outlive their daemons keep their keys: <order> (<way>, start time: <report>)
    Given <way>
    And targets that <report> their start time
    And <count> targets in two failure domains that have served for 6 s
    When these follow each other: <order>
    Then no key is without its holder in the next 12 s
    And no fence has risen

    Examples:
      | way                                   | report        | count | order                                       |
      | targets that take keys by heartbeats  | do not report | 2     | daemon 1 restarts                           |
      | targets that take keys by heartbeats  | do not report | 4     | daemon 0 restarts                           |
      | targets that take keys by heartbeats  | do not report | 4     | all daemons restart                         |
      | targets that take keys by heartbeats  | do not report | 4     | daemon 1 restarts; 0.5 s; daemon 0 restarts |
      | targets that take keys by heartbeats  | report        | 4     | all daemons restart                         |
      | targets that take their keys by calls | do not report | 2     | daemon 1 restarts                           |
      | targets that take their keys by calls | do not report | 4     | daemon 0 restarts                           |
      | targets that take their keys by calls | do not report | 4     | daemon 1 ends; 1 s; daemon 1 restarts       |
      | targets that take their keys by calls | do not report | 4     | all daemons restart                         |
      | targets that take their keys by calls | do not report | 4     | all daemons restart; 0.5 s; all daemons restart |
      | targets that take their keys by calls | report        | 4     | all daemons restart                         |

  Scenario Outline: The first heartbeat after a start comes from the former process or the next one: <evidence>
    Given a daemon that starts 3 s after the last renewal of its former process's entry
    And its target owned keys 0 to 999 under fence 5
    When the first heartbeat is received after 0.5 s, <evidence>
    Then the <sender> process has sent it

    Examples:
      | evidence                                               | sender |
      | number 2, with keys 0 to 999 held under fence 5        | former |
      | number 2, with keys 0 to 999 held under fence 4        | next   |
      | number 2, with keys 5000 to 5999 held under fence 5    | next   |
      | number 40                                              | former |
      | number 6                                               | next   |
      | number 40, still cold                                  | next   |
      | number 40, with the key map of a restored store        | next   |
      | number 40, with the entry of another incarnation       | next   |
      | number 40, with no entry                               | next   |
      | number 1, with all keys moved to others                | former |

  # Heartbeats that a frozen daemon receives at once may reach the count of the former process.
  Scenario: Counts that rise past the known ones after restarted ones are not the known process's
    Given a daemon that has received heartbeats 1 to 7 of "t"
    When heartbeats 1 to 8 arrive together 7 s later
    Then heartbeat 9 belongs to another incarnation of "t"

  Scenario: A late heartbeat is not the first one of another process, though all connections closed
    Given a daemon that has received heartbeats 1 to 9 of "t"
    When all connections to "t" have closed
    Then heartbeat 8 is late
    And heartbeat 10 belongs to "t"
    And heartbeat 1 belongs to another incarnation of "t"
