Feature: Draining a failure domain, in virtual time

  Operators drain a failure domain within a time that they allow. After it nothing is sent to the
  domain's targets until the drain is ended. The daemons' decisions are those of the product.

  # -- keys of drained targets -------------------------------------------------------------

  Scenario: Keys are handed over within the time that operators allow
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When "b" is drained
    Then no target in "b" holds a key or gets a request after 3 s
    And every key is served after 0.2 s more
    And each daemon knows that "b" is drained

  Scenario: After a drain is ended its targets own keys again
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When "b" is drained
    And 4 s go by
    And the drain of "b" is ended
    Then each target holds keys after 4 s
    And every key is served after 1 s more

  Scenario: A second failure domain is drained while the keys of the first one move
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When "b" is drained
    And 0.3 s go by
    And "c" is drained
    Then no target in "b" holds a key or gets a request after 3 s
    And no target in "c" holds a key or gets a request after 0.2 s
    And every key is served after 1 s more

  Scenario: An owner in another failure domain is lost during a drain
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When "b" is drained
    And instance 2 is lost with its target
    Then no target in "b" holds a key or gets a request after 3 s
    And every key is served after 2 s more

  Scenario: All failure domains are drained, and no target gets a request
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When "a" is drained
    And "b" is drained
    And "c" is drained
    Then no target anywhere gets a request after 3.2 s
    And each daemon knows that the service has no failure domain left
    When the drain of "c" is ended
    Then every key is served after 4 s more

  Scenario: The planner is in the failure domain that is drained
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When the planner's failure domain is drained
    Then no target there holds a key or gets a request after 3 s
    And every key is served after 0.2 s more

  Scenario: A target that is restarted in a drained failure domain gets neither keys nor requests
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When "b" is drained
    And 2 s go by
    And the targets in "b" are restarted
    Then no target in "b" holds a key or gets a request after 2 s

  # -- the store ----------------------------------------------------------------------------

  Scenario: A drain stays in force while the store is unavailable
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When "b" is drained
    And 1 s go by
    And the store is unavailable for 8 s
    Then no target in "b" holds a key or gets a request after 0 s
    And every key is served after 0.2 s more

  Scenario: A daemon that is cut off from the store learns of a drain, and of its end, from a watcher
    Given a fleet of 9 targets in failure domains "a", "b" and "c" that serves
    When daemons 1 and 5 are cut off from the store
    And 3 s go by
    And "b" is drained
    And 3 s go by
    Then each daemon knows that "b" is drained
    When the drain of "b" is ended
    And 3 s go by
    Then each daemon knows that nothing is drained

  Scenario: A watcher that is cut off from the store learns of a drain from another watcher
    Given a fleet of 9 targets in failure domains "a", "b" and "c" that serves
    When one watcher is cut off from the store
    And 3 s go by
    And "b" is drained
    And 3 s go by
    Then each daemon knows that "b" is drained

  Scenario: A drain that is written just before the store discards its history is read
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When "b" is drained and the store discards its history at once
    And 2 s go by
    Then each daemon knows that "b" is drained

  Scenario Outline: An invalid entry of a drain changes nothing: <name> <entry>
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

  # -- order of revisions -----------------------------------------------------------------------

  Scenario: An update that arrives late never reverts a newer one
    Given a daemon that knows of no drain
    When it reads at revision 10 that "a" is drained
    And another daemon reports at revision 8 that nothing is drained
    Then "a" has been drained since before the first update
    When it is notified at revision 12 and 20 s that "b" is drained
    And it is notified at revision 11 and 21 s that "b" is not drained
    Then "b" is drained since 20 s
    When another daemon reports at revision 14 that nothing is drained
    Then nothing is drained
