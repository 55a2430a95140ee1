Feature: Table of the score that is lost in runs of the users' bench

  Scenario: The newest run of each standard day gets a row
    Given entries of two runs of "quiet-1" with worth 0.5 and then 0.75, and of a drawn day
    Then the table has one row, with worth 0.750, the largest loss first and no broken rule

  Scenario: A broken rule is named
    Given an entry of "trouble-1" in which the rule "LOST" was broken
    Then the table's row names "LOST"
