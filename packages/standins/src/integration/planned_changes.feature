Feature: Planned stops and leaving endpoints under load

  Scenario: A planned stop of each instance in turn cuts and loses nothing
    Given a quick fleet of the association with 3 instances
    And a load of 25 requests a second with a fifth of bookings and seed 21
    When each instance is stopped as planned and replaced, one after the other
    Then every instance has exited with code 0
    And every request of the load was answered whole
    And no booking ran twice and each one that was done ran

  Scenario: A leaving engine and a leaving service get no new work
    Given a quick fleet of the association with 3 instances
    And a load of 25 requests a second with a fifth of bookings and seed 22
    When the list shows an engine and a service as leaving for 5 s
    Then neither got new work later than 3 s after the list showed it
    And every request of the load was answered whole
    And no booking ran twice and each one that was done ran

  Scenario: Silent connections to services run nothing twice
    Given a quick fleet of the association with 3 instances
    And a load of 25 requests a second with a half of bookings and seed 23
    When every open connection to a service falls silent twice
    Then no booking ran twice and each one that was done ran

  Scenario: A new instance is ready only once the log lists it, so that it refuses no booking
    Given a quick fleet of the association with 1 instances
    When another instance starts while the log takes 1500 ms for each append
    Then it is ready within 5 s, and the log has listed it before

  Scenario: A new instance is ready without being listed where the log takes no appends
    Given a quick fleet of the association with 1 instances
    When another instance starts while the log refuses all appends
    Then it is ready within 12 s, but not within 4 s
