Feature: What a daemon does costs no more where there are hundreds of them

  Scenario Outline: An owner's report costs the planner its own rows
    Given a table of the load of <keys> keys
    When an owner reports 8 rows to it
    Then the table takes at most 80 steps for that

    Examples:
      | keys  |
      | 100   |
      | 10000 |

  Scenario: Loads that decay forward tell what loads tell that are faded with each report
    Given a table of the load of 50 keys
    When owners report at random for 300 s, with pauses of up to 60 s
    Then each key's rate is what its faded counts give
