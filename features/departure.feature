Feature: A target that has announced its end is not offered again, in virtual time

  The targets do not report their start time. The oracle checks every tick that a daemon offers its
  target no more than 2 s after it acknowledged that the target leaves, and that no two targets
  hold a key.

  # Guards against requests to a target that leaves: heartbeats that were held up since before the
  # leave were taken for those of another process under the same id.
  Scenario Outline: Heartbeats from before the leave arrive after it: <order> (<way>)
    Given <way>
    And 4 targets in two failure domains that have served for 6 s
    When these follow each other: <order>
    Then no target that has left is offered in the next 12 s

    Examples:
      | way                                   | order                                                                                                               |
      | targets that own no keys              | 2 heartbeats of target 1 are held up for 4 s and arrive 0.4 s apart; 1 s; target 1 leaves                           |
      | targets that own no keys              | 1 heartbeats of target 1 are held up for 4 s and arrive 0 s apart; 0.1 s; target 1 leaves                           |
      | targets that own no keys              | 9 heartbeats of target 1 are held up for 3 s and arrive 0.87 s apart; 0.1 s; target 1 leaves                        |
      | targets that own no keys              | 9 heartbeats of target 1 are held up for 2 s and arrive 1.5 s apart; 1 s; target 1 leaves                           |
      | targets that own no keys              | 3 heartbeats of target 1 are held up for 8 s and arrive 1.3 s apart; 1 s; target 1 drains; 3 s; target 1 leaves     |
      | targets that own no keys              | 2 heartbeats of target 1 are held up for 1.5 s and arrive 1 s apart; target 1 leaves                                |
      | targets that own no keys              | daemon 1 restarts; 2 s; 2 heartbeats of target 1 are held up for 4 s and arrive 0.4 s apart; 1 s; target 1 leaves   |
      | targets that own no keys              | daemon 1 restarts; 2 heartbeats of target 1 are held up for 4 s and arrive 0.4 s apart; target 1 leaves             |
      | targets that own no keys              | 2 heartbeats of target 1 are held up for 60 s and arrive 0.4 s apart; 1 s; target 1 leaves; 50 s                    |
      | targets that own no keys              | 2 copies of a heartbeat of target 1 are held up for 4 s and arrive 1 s apart; 2 s; target 1 leaves                  |
      | targets that own no keys              | 5 copies of a heartbeat of target 1 are held up for 4 s and arrive 1 s apart; target 1 drains; 3 s; target 1 leaves |
      | targets that take keys by heartbeats  | 2 heartbeats of target 1 are held up for 4 s and arrive 0.4 s apart; 1 s; target 1 leaves                           |
      | targets that take keys by heartbeats  | daemon 1 restarts; 2 heartbeats of target 1 are held up for 4 s and arrive 0.4 s apart; target 1 leaves             |
      | targets that take their keys by calls | 9 heartbeats of target 1 are held up for 3 s and arrive 0.87 s apart; 0.1 s; target 1 leaves                        |

  # The daemon sees that the former process ends.
  Scenario Outline: The next process under the id of a target that has left is offered: <order> (<way>)
    Given <way>
    And 4 targets in two failure domains that have served for 6 s
    When these follow each other: <order>
    Then target 1 is offered after 5 s

    Examples:
      | way                                   | order                                                           |
      | targets that own no keys              | target 1 leaves; 3 s; target 1 restarts                         |
      | targets that own no keys              | target 1 leaves; 0.5 s; target 1 restarts                       |
      | targets that own no keys              | target 1 leaves; 3 s; target 1 is replaced                      |
      | targets that own no keys              | daemon 1 restarts; 2 s; target 1 leaves; 3 s; target 1 restarts |
      | targets that own no keys              | target 1 leaves; 3 s; target 1 ends; 3 s; target 1 restarts     |
      | targets that own no keys              | target 1 drains; 3 s; target 1 restarts                         |
      | targets that take keys by heartbeats  | target 1 leaves; 3 s; target 1 restarts                         |
      | targets that take keys by heartbeats  | target 1 drains; 3 s; target 1 leaves; 3 s; target 1 restarts   |
      | targets that take keys by heartbeats  | target 1 leaves; 3 s; target 1 is replaced                      |
      | targets that take their keys by calls | target 1 leaves; 3 s; target 1 restarts                         |
      | targets that take their keys by calls | target 1 leaves; 3 s; target 1 is replaced                      |

  # Guards against requests to a target that leaves: the leave was only in the memory of its daemon's
  # process, and the next one took a late heartbeat for that of a target that is ready.
  Scenario Outline: The daemon restarts after it acknowledged a leave: <order> (<way>)
    Given <way>
    And 4 targets in two failure domains that have served for 6 s
    When these follow each other: <order>
    Then no target that has left is offered in the next 12 s

    Examples:
      | way                                   | order                                                                                                                                                               |
      | targets that own no keys              | 1 heartbeats of target 1 are held up for 4 s and arrive 0 s apart; 0.1 s; target 1 leaves; 0.5 s; daemon 1 ends; 0.5 s; daemon 1 restarts                           |
      | targets that own no keys              | 5 heartbeats of target 1 are held up for 2 s and arrive 1 s apart; target 1 leaves; 0.06 s; daemon 1 restarts                                                       |
      | targets that own no keys              | 2 heartbeats of target 1 are held up for 6 s and arrive 1 s apart; target 1 leaves; 1 s; daemon 1 restarts; 1 s; daemon 1 restarts                                  |
      | targets that own no keys              | 2 heartbeats of target 1 are held up for 40 s and arrive 0.4 s apart; target 1 leaves; 1 s; daemon 1 ends; 30 s; daemon 1 restarts; 8 s                             |
      | targets that own no keys              | 9 heartbeats of target 1 are held up for 1 s and arrive 0.5 s apart; target 1 drains; 2 s; target 1 leaves; all daemons restart                                     |
      | targets that own no keys              | 2 heartbeats of target 1 are held up for 4 s and arrive 1 s apart; target 1 leaves; 1 s; the store fails; daemon 1 restarts; 8 s; the store recovers                |
      | targets that own no keys              | 2 heartbeats of target 1 are held up for 7 s and arrive 1 s apart; the store fails; target 1 leaves; 3 s; the store recovers; 3 s; daemon 1 restarts                |
      | targets that own no keys              | daemon 1 restarts; 2 heartbeats of target 1 are held up for 4 s and arrive 1 s apart; target 1 leaves; 1 s; daemon 1 restarts                                       |
      | targets that own no keys              | 2 heartbeats of target 1 are held up for 4 s and arrive 1 s apart; target 1 leaves; 0.5 s; a former target of instance 1 leaves; 0.5 s; daemon 1 restarts           |
      | targets that own no keys              | 2 heartbeats of target 1 are held up for 9 s and arrive 1 s apart; the store fails; target 1 leaves; 2 s; daemon 1 restarts; 4 s; the store recovers                |
      | targets that own no keys              | 4 heartbeats of target 1 are held up for 5 s and arrive 1 s apart; the store fails; target 1 leaves; 2 s; daemon 1 ends; 1 s; the store recovers; daemon 1 restarts |
      | targets that take keys by heartbeats  | 2 heartbeats of target 1 are held up for 9 s and arrive 1 s apart; the store fails; target 1 leaves; 2 s; daemon 1 restarts; 4 s; the store recovers                |
      | targets that take keys by heartbeats  | 1 heartbeats of target 1 are held up for 4 s and arrive 0 s apart; 0.1 s; target 1 leaves; 0.5 s; daemon 1 ends; 0.5 s; daemon 1 restarts                           |
      | targets that take keys by heartbeats  | 2 heartbeats of target 1 are held up for 4 s and arrive 1 s apart; target 1 leaves; 1 s; the store fails; daemon 1 restarts; 8 s; the store recovers                |
      | targets that take their keys by calls | 5 heartbeats of target 1 are held up for 2 s and arrive 1 s apart; target 1 leaves; 0.06 s; daemon 1 restarts                                                       |

  Scenario Outline: The next process of a target that has left is offered by a restarted daemon: <order> (<way>)
    Given <way>
    And 4 targets in two failure domains that have served for 6 s
    When these follow each other: <order>
    Then target 1 is offered after 5 s

    Examples:
      | way                                   | order                                                                                                     |
      | targets that own no keys              | target 1 leaves; 1 s; daemon 1 restarts; 2 s; target 1 restarts                                           |
      | targets that own no keys              | target 1 leaves; 1 s; daemon 1 ends; 2 s; target 1 ends; 1 s; daemon 1 restarts; 2 s; target 1 restarts   |
      | targets that own no keys              | target 1 leaves; 1 s; daemon 1 ends; 2 s; target 1 is replaced; 2 s; daemon 1 restarts                    |
      | targets that own no keys              | target 1 leaves; 3 s; target 1 restarts; 9 s; daemon 1 restarts                                           |
      | targets that own no keys              | the store fails; target 1 leaves; 3 s; target 1 restarts; 3 s; the store recovers; 6 s; daemon 1 restarts |
      | targets that take keys by heartbeats  | target 1 leaves; 3 s; target 1 restarts; 9 s; daemon 1 restarts                                           |
      | targets that take their keys by calls | target 1 leaves; 1 s; daemon 1 restarts; 2 s; target 1 restarts                                           |

  # Nobody has seen the end of the former process, and all its heartbeats may still arrive.
  Scenario Outline: The next process that starts while the daemon is away is offered in the end: <order> (<way>)
    Given <way>
    And 4 targets in two failure domains that have served for 6 s
    When these follow each other: <order>
    Then target 1 is offered after 125 s

    Examples:
      | way                                  | order                                                                               |
      | targets that own no keys             | target 1 leaves; 3 s; target 1 restarts; daemon 1 restarts                          |
      | targets that own no keys             | target 1 leaves; 1 s; daemon 1 ends; 2 s; target 1 restarts; 2 s; daemon 1 restarts |
      | targets that take keys by heartbeats | target 1 leaves; 3 s; target 1 restarts; daemon 1 restarts                          |
