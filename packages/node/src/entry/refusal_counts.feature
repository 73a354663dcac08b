Feature: Refusals are counted by workspace with a bounded number of labels

  Scenario: Only the highest counts are shown by name
    Given refused calls of 1000 workspaces, one each, and 50 of "red"
    Then 17 counts are shown, 50 of "red" and 1050 in all
