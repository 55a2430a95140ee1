@cluster.patient.pooled
Feature: A service that a daemon has not heard of yet is no unknown service

  Daemons that had just said "ready" answered 404 "unknown-service", which is final, for services
  that were there: 11, 16, 0 and 12 of some 5,500 requests in four plays of `make run`, all in the
  first 0.6 s, each by a daemon that had the services' cell records and not their rows. Records
  are announced when they are written; rows had been announced before the daemons knew any peer,
  and came with a round of digests, which takes a second. Readiness asked for neither. The log
  shows it: "pearward:request-failed" with "unknown-service", and the rows' "versions" missing in the
  daemon's status.

  Scenario: A daemon that has just started never says that a service does not exist
    When a daemon of "roster-app" is killed and started again
    And it is asked for "paypost" from its first moment on, for 3 seconds
    Then each answer is served, or not run with a time to come back
    And the last answer is served

  Scenario: A daemon that says it is ready knows every service
    When a daemon of "roster-app" is killed and started again
    And it is asked whether it is ready until it is
    Then its status has the rows of every service

  Scenario: A new service is known wherever it is asked for
    When the operator declares a new service "newcomer"
    And each daemon is asked for "newcomer" at once
    Then no answer says that it does not exist

  Scenario: While the store is away nobody can tell that a service does not exist
    When the platform is down
    And "GET" for key "crew-1" of "nobody-knows" is sent to the first daemon
    Then that answer is not run, with a time to come back
    When the platform is up again
    And "GET" for key "crew-1" of "nobody-knows" is sent to the first daemon
    Then the answer is 404 "not-run" because of "unknown-service"

  Scenario: A body that comes while a service is looked up is kept
    When the operator declares a new service "late-comer"
    And 300000 bytes are posted to "late-comer" through each daemon
    Then no answer says that it does not exist

  Scenario: Names that are made up reach the store seldom
    When the first daemon is asked 200 times for services that do not exist
    Then the store was read at most 60 times more
    And no such answer was served

  Scenario: A lookup that goes wrong by a fault of the daemon keeps nobody waiting
    Given a daemon that fails as it takes rows that were looked up
    When a service is looked up, and once more
    Then both lookups have ended, and neither says that it does not exist
