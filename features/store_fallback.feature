Feature: An owner without contact to its peers releases its shards through the store

  Only the owner itself can release its shards when it is its own only witness. If it is cut off
  from its peers, it stops serving them but can't tell its peers, and without a release through the
  store its shards, for example 128 of 256, stay unserved as long as it is cut off. The same happens
  when only the new owners can't reach it.

  Scenario: An isolated owner reads that its shards were reassigned, and writes its release
    Given an owner that is its own only witness, cut off from its peers
    When the store's record assigns its shards to others
    Then within 2 seconds the store's record no longer waits for its release

  Scenario: The release waits for requests that are still running
    Given an owner that is its own only witness, cut off from its peers
    And one of its requests is running
    When the store's record assigns its shards to others
    Then for 5 seconds the store's record waits for its release
    When that request ends
    Then within 2 seconds the store's record no longer waits for its release

  Scenario: An isolated daemon reads the record less and less often
    Given an owner that is its own only witness, cut off from its peers
    When 120 seconds pass and nothing changes
    Then it has read the record 8 to 20 times

  Scenario: An owner in contact with its peers writes its release only if they have not recorded it in time
    Given an owner that is its own only witness, not cut off
    When the store's record assigns its shards to others and its daemon gets that record
    Then for 1 second the store's record waits for its release
    And it has read the record 0 to 0 times
    But within 2 seconds the store's record no longer waits for its release

  Scenario: The coordinator learns of a release from the store
    Given a coordinator of a cell of 4 daemons that has read the record
    And the record waits for the release of the fourth daemon
    When the fourth daemon writes its release to the store
    Then within 2 seconds the coordinator's daemon knows that record
