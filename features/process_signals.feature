Feature: Signals reach a daemon's process at any moment

  # Guards against processes that end by themselves: until the end of its start, SIGHUP ended a daemon.
  Scenario Outline: SIGHUP during the start does not end the daemon: <moment>, <times> times
    Given a daemon on a users' platform that gets SIGHUP <times> times when <moment>
    Then it runs
    And it ends with code 0 after SIGTERM

    Examples:
      | moment                   | times |
      | the first import begins  | 1     |
      | the first import begins  | 50    |
      | the reactor is imported  | 1     |
      | the settings are opened  | 1     |
      | the first port is bound  | 1     |
      | the last port is bound   | 1     |
      | every import begins      | 1     |

  Scenario Outline: SIGTERM during the start ends the daemon: <moment>
    Given a daemon on a users' platform that gets SIGTERM 1 times when <moment>
    Then it ends with code 0

    Examples:
      | moment                  |
      | the first import begins |
      | the reactor is imported |
      | the settings are opened |
      | the first port is bound |
      | every import begins     |

  Scenario Outline: Signals during a planned stop do not change its exit code: <signal>
    Given a daemon on a users' platform that runs
    When it is stopped and gets <signal> until it has ended
    Then it ends with code 0

    Examples:
      | signal  |
      | SIGHUP  |
      | SIGTERM |

  # The settings that were read first stayed in force.
  Scenario: A change of the settings that is signalled while they are read is in force
    Given a daemon on a users' platform whose settings change while it reads them
    Then it runs with the changed settings

  Scenario: Settings that are being written when the daemon starts
    Given a daemon on a users' platform whose settings are complete 0.2 s after its start
    Then it runs

  Scenario: SIGHUP does not end pearwardd
    Given a running pearwardd
    When it gets SIGHUP 20 times
    Then it runs on
