@cluster.patient.pooled
Feature: Services with the patient policy move few keys, pooled ones lose no requests

  Scenario: A killed daemon that is restarted gets its keys back
    Given callers send requests to "roster-app"
    When the daemon of the owner of "crew-1" is killed and started again
    Then every key of "roster-app" is served again
    And no key of "roster-app" has moved to another server
    And the guarantees hold for "roster-app"

  Scenario: A planned stop lets a long download complete
    When a long download from "paypost" through "paypost-0" is under way
    And the daemon "paypost-0" is stopped as planned
    Then the download is complete and matches its request
    And that daemon ends with exit code 0

  Scenario: A drained server gets no new requests and aborts none
    Given callers send requests to "paypost"
    When the command "drain paypost/paypost-1 --wait" is run
    And 2 seconds pass
    Then "paypost-1" runs no new request for 2 seconds
    And no request to "paypost" failed meanwhile
    When the command "drain paypost/paypost-1 --off --wait" is run
    Then "paypost-1" runs requests again
    And the guarantees hold for "paypost"

  Scenario: A drained server hands its keys over
    Given callers send requests to "roster-app"
    When the command "drain roster-app/roster-app-0 --wait" is run
    Then "roster-app-0" eventually owns no shards
    And no request to "roster-app" failed meanwhile
    When the command "drain roster-app/roster-app-0 --off --wait" is run
    Then "roster-app-0" eventually owns shards
    And the guarantees hold for "roster-app"
