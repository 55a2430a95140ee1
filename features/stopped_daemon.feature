Feature: A daemon that has ended its planned stop takes nothing more

  # Between the decision to end and the end of the process the daemon adopted a record that gave it
  # shards, granted them to its server, and a request that it ran ended with the process.
  Scenario: A record that arrives after the end of a planned stop is not adopted
    Given a daemon that has ended its planned stop
    When a peer sends it a record that gives it every shard
    Then it has adopted no record
    And its server gets no grant
