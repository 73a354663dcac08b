Feature: Stand-in of a plain service, called through its adapter

  Scenario: It runs a booking each time that it is called, and counts the runs
    Given a service stand-in
    When the booking "k1" is called
    And the booking "k1" is called
    And the booking "k2" is called
    Then the service's answers and runs match the snapshot

  Scenario: A lost answer leaves the effect unknown, and a look-up by key settles it
    Given a service stand-in
    And the service loses its next answer
    When the booking "k1" is called
    And the key "k1" is looked up
    And the key "k2" is looked up
    Then the service's answers and runs match the snapshot

  Scenario: A leaving service runs nothing and says so
    Given a service stand-in
    And the service is leaving
    When the booking "k1" is called
    Then the service's answers and runs match the snapshot

  Scenario: A crashed service cannot be connected to, which has no effect
    Given a service stand-in
    And the service has crashed
    When the booking "k1" is called
    And the service restarts
    And the booking "k1" is called
    Then the service's answers and runs match the snapshot

  Scenario: A call that ends while it waits for a connection was never sent
    Given a service stand-in
    When more bookings than connections are called and all are aborted
    Then the service's answers and runs match the snapshot

  Scenario: A paused service answers no ping
    Given a service stand-in
    And the service is paused
    When the service is pinged
    And the service resumes
    And the service is pinged
    Then the service's answers and runs match the snapshot
