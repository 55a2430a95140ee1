Feature: An owner that its peers do not hear gives its shards up through the store

  An owner that is its own only witness is the only one that can release its shards. Cut off from
  its peers it had given them up, and told nobody: 128 of 256 shards stayed unserved for as long as
  the cut lasted. The same holds where just the heirs cannot reach it.

  Scenario: An owner that is alone reads that its shards were given away, and writes its release
    Given an owner that is its own only witness, cut off from its peers
    When the store's record gives its shards to others
    Then within 2 seconds the store's record waits for no release of its

  Scenario: What still runs is waited for
    Given an owner that is its own only witness, cut off from its peers
    And a request of its runs
    When the store's record gives its shards to others
    Then for 5 seconds the store's record waits for its release
    When that request ends
    Then within 2 seconds the store's record waits for no release of its

  Scenario: A daemon that is alone reads the record less and less often
    Given an owner that is its own only witness, cut off from its peers
    When 120 seconds pass and nothing changes
    Then it has read the record 8 to 20 times

  Scenario: An owner that hears its peers writes nothing as long as the record is dealt with
    Given an owner that is its own only witness, not cut off
    When the store's record gives its shards to others and its daemon hears of that
    Then for 1 second the store's record waits for its release
    And it has read the record 0 to 0 times
    But within 2 seconds the store's record waits for no release of its

  Scenario: The coordinator hears of a release from the store
    Given a coordinator of a cell of 4 daemons that has read the record
    And the record waits for a release of the fourth
    When the fourth writes its release to the store
    Then within 2 seconds the coordinator's daemon knows that record
