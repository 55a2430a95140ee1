@cluster.patient.pooled
Feature: A service that a daemon does not know yet is not reported as unknown

  Guards against a daemon that reports "ready" and responds with 404 "unknown-service", which is
  final, for a service that exists. This occurs in the first 0.6 s after the start, at daemons that
  have the services' cell records but not their rows: records are announced when they are written;
  if rows are announced before the daemons know any peer, they arrive only with a round of digests,
  which takes a second. Readiness must wait for both. The symptoms are "pearward:failed" with
  "unknown-service" in the log, and "versions" without the rows in the daemon's status.

  Scenario: A daemon that has just started never says that a service does not exist
    When a daemon of "roster-app" is killed and started again
    And it is asked for "paypost" from its start on, for 3 seconds
    Then each request is served, or not run with a retry delay
    And the last request is served

  Scenario: A daemon that reports ready knows every service
    When a daemon of "roster-app" is killed and started again
    And its readiness is polled until it is ready
    Then its status has the rows of every service

  Scenario: A new service is known at every daemon
    When the operator declares a new service "newcomer"
    And each daemon is asked for "newcomer" at once
    Then no response says that the service does not exist

  Scenario: While the store is unavailable no daemon says that a service does not exist
    When the platform is down
    And "GET" for key "crew-1" of "nobody-knows" is sent to the first daemon
    Then that request is not run, with a retry delay
    When the platform is up again
    And "GET" for key "crew-1" of "nobody-knows" is sent to the first daemon
    Then the response is 404 "not-run" because of "unknown-service"

  Scenario: A request body that arrives while the service is looked up is kept
    When the operator declares a new service "late-comer"
    And 300000 bytes are posted to "late-comer" through each daemon
    Then no response says that the service does not exist

  Scenario: Requests for services that do not exist cause few reads of the store
    When the first daemon is asked 200 times for services that do not exist
    Then the store was read at most 60 times more
    And none of these requests was served

  Scenario: A lookup that fails because of an error in the daemon ends
    Given a daemon that raises an error when it receives the rows of a looked-up service
    When a service is looked up twice
    Then both lookups have ended, and neither says that the service does not exist
