Feature: Daemons keep to what endpoints need

  Scenario: Engines and services get what they take from all daemons together
    Given a quick fleet of the association with 3 instances
    And the first engine and the first service name a limit of 2 requests a second
    When a load of 30 requests a second runs for 9 s
    Then the first engine and the first service get no more than the limit allows
    And the load was served elsewhere

  Scenario: What fits nowhere is refused at once
    Given a quick fleet of the association with 3 instances
    And all engines and services name a limit of 1 requests a second
    When a load of 30 requests a second runs for 9 s
    Then all engines and services get no more than the limit allows
    And all engines and services together get at least 0.5 of the limit
    And requests were refused with the reason "limited"

  Scenario: A stream goes on only at the software version that began it
    Given a quick fleet of the association with 3 instances
    And every other engine has another software version
    When 40 streams of 200 tokens run at once while one engine of each version ends
    Then no stream has tokens of two software versions
    And at least half of the streams whose engine ended go on
