Feature: Entries and changes in a store that comes back from an older copy, in virtual time

  # Operators drained a failure domain after the store had gone back. The store counted their write
  # lower than what daemons had taken as complete before, and "drains_in_force" never came.
  Scenario: What operators write after it went back is in force, though the store counts it lower
    Given a fleet of 4 targets that serves
    When the store counts 20 changes, goes back before them and failure domain "a" is drained
    Then every daemon has drained "a" after 2 s

  # The store had counted past the revision that a daemon followed when that asked again: it got no
  # sign that anything was missing, and never heard of what was written before that revision.
  Scenario: A daemon that stood still hears of what was written, though the store counts higher again
    Given a fleet of 4 targets that serves
    When the store goes back while daemon 3 stands still, "a" is drained and 20 changes follow
    Then every daemon has drained "a" after 3 s

  # A target was replaced in the seconds that the store lost. Its daemon took what it had written as
  # standing, and the others chose the target of before: "keys_moved" left the new one out for good.
  Scenario: Daemons write their entries again, under leases of their own
    Given a fleet of 4 targets that serves
    When the store is copied and target 1 is replaced
    And the store goes back, away for 0.3 s
    Then the store has the entries of all daemons and targets as they are after 2 s

  Scenario: What is held against requests that crash their targets is written again
    Given a fleet of 4 targets that serves
    When the store is copied and target 1 crashes under a request
    And the store goes back, away for 0.3 s
    Then the store has the crash of target 1 after 2 s
