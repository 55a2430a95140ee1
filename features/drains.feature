Feature: Draining a failure domain, in virtual time

  Nothing more is sent to the targets of a failure domain that operators drain, from the time
  that they allow on until they take it back. The daemons' decisions are the real ones.

  # -- keys of targets that are drained ----------------------------------------------------

  Scenario: Keys are handed over before the time that operators allow is over
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When "b" is drained
    Then no target in "b" holds a key or gets a request after 3 s
    And every key is served after 0.2 s more
    And each daemon knows that "b" is drained

  Scenario: A drain that is taken back lets its targets own keys again
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When "b" is drained
    And 4 s go by
    And the drain of "b" is taken back
    Then each target holds keys after 4 s
    And every key is served after 1 s more

  Scenario: Two failure domains are drained while the first one's keys move
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When "b" is drained
    And 0.3 s go by
    And "c" is drained
    Then no target in "b" holds a key or gets a request after 3 s
    And no target in "c" holds a key or gets a request after 0.2 s
    And every key is served after 1 s more

  Scenario: An owner elsewhere is lost while a failure domain is drained
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When "b" is drained
    And instance 2 is lost with its target
    Then no target in "b" holds a key or gets a request after 3 s
    And every key is served after 2 s more

  Scenario: All failure domains are drained, and nothing is sent anywhere
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When "a" is drained
    And "b" is drained
    And "c" is drained
    Then no target anywhere gets a request after 3.2 s
    And each daemon knows that the service has no failure domain left
    When the drain of "c" is taken back
    Then every key is served after 4 s more

  Scenario: The planner is in the failure domain that is drained
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When the planner's failure domain is drained
    Then no target there holds a key or gets a request after 3 s
    And every key is served after 0.2 s more

  Scenario: A target that starts anew in a drained failure domain gets nothing
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When "b" is drained
    And 2 s go by
    And the targets in "b" start anew
    Then no target in "b" holds a key or gets a request after 2 s

  # -- the store ----------------------------------------------------------------------------

  Scenario: A drain stays in force while the store is away
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When "b" is drained
    And 1 s go by
    And the store is unavailable for 8 s
    Then no target in "b" holds a key or gets a request after 0 s
    And every key is served after 0.2 s more

  Scenario: A daemon that the store turns away hears of a drain, and of its end, from a watcher
    Given a fleet of 9 targets in failure domains "a", "b" and "c" that serves
    When daemons 1 and 5 are cut off from the store
    And 3 s go by
    And "b" is drained
    And 3 s go by
    Then each daemon knows that "b" is drained
    When the drain of "b" is taken back
    And 3 s go by
    Then each daemon knows that nothing is drained

  Scenario: A watcher that the store turns away hears of a drain from another watcher
    Given a fleet of 9 targets in failure domains "a", "b" and "c" that serves
    When one watcher is cut off from the store
    And 3 s go by
    And "b" is drained
    And 3 s go by
    Then each daemon knows that "b" is drained

  Scenario: A drain that was written while the history was forgotten is read
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When "b" is drained and the store forgets its history at once
    And 2 s go by
    Then each daemon knows that "b" is drained

  Scenario Outline: An entry that drains nothing changes nothing: <name> <entry>
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When "b" is drained
    And the operator writes <entry> as the drain of "<name>"
    And 1 s go by
    Then each daemon knows that "b" is drained
    And each daemon has logged one entry that cannot be read

    Examples:
      | name    | entry |
      | nowhere | {}    |
      |         | {}    |
      | c       | 17    |
      | c       | {     |
      | b       | []    |

  # -- what is newer wins -----------------------------------------------------------------------

  Scenario: What arrives late never undoes what is newer
    Given a daemon that knows nothing of drains
    When it reads at revision 10 that "a" is drained
    And it is told of revision 8 that nothing is drained
    Then "a" is drained since ever
    When it hears at revision 12 and 20 s that "b" is drained
    And it hears at revision 11 and 21 s that "b" is not drained
    Then "b" is drained since 20 s
    When it is told of revision 14 that nothing is drained
    Then nothing is drained
