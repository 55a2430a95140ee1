@cluster.quick
Feature: A planned stop beside a peer with an old record, with real processes

  # Lost their connection: the process exited while requests were in its socket's buffer.
  Scenario: A peer whose record is old sends requests until the process has ended
    When each daemon of "premview" is stopped as planned while a peer with an old record sends
    Then each stopped daemon has served and refused requests of that peer
    And none of that peer's requests ended "unknown"
