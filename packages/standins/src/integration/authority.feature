Feature: Bundles come into force everywhere and never revert

  Scenario: A bundle comes into force in a failure domain that cannot reach the log
    Given an authority fleet with 4 instances
    When the failure domain of the second instance is cut off from the log
    And an operator publishes the next bundle
    Then version 2 is in force at every instance within 8000 ms
    And no instance ever reported an older version than before

  Scenario: Two operators publish at once and one wins everywhere
    Given an authority fleet with 4 instances
    When two operators publish different bundles for version 2
    Then version 2 is in force at every instance within 8000 ms
    And the log accepted the first bundle of the two

  Scenario: An instance that starts during an outage takes the newest version
    Given an authority fleet with 4 instances
    When an operator publishes the next bundle
    Then version 2 is in force at every instance within 8000 ms
    When the log serves no instance
    And the first instance is killed and another one starts
    Then version 2 is in force at every instance within 8000 ms
    And no instance ever reported an older version than before

  Scenario: A long outage of the log ends and the next bundle comes into force
    Given an authority fleet with 4 instances
    When an operator publishes the next bundle
    Then version 2 is in force at every instance within 8000 ms
    When the log serves no instance
    And 15000 ms pass for the authority fleet
    And the log serves all instances again
    And an operator publishes the next bundle
    Then version 3 is in force at every instance within 8000 ms
    And no instance ever reported an older version than before

  Scenario: An instance starts behind the retention edge
    Given an authority fleet with 4 instances
    When an operator publishes the next bundle
    And a checkpoint covers version 2 and the log forgets what is before it
    And another instance starts
    Then version 2 is in force at every instance within 8000 ms
