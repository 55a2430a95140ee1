Feature: Clusters of tests keep apart

  A cell of four was never ready again after its third daemon was replaced: its rows in the store
  named three servers. A second cluster of three, started by hand at that moment, had chosen the
  same loopback network by its process id, had written its own rows to the first one's store, and
  none of its own daemons could listen.

  Scenario: Two clusters at once are never on one network
    When two loopback networks are claimed at once
    Then they differ
    And one that was let go can be claimed again
