Feature: Daemons refuse calls under which plain services crash

  Scenario: Repeats of a booking that crashes services are refused at every daemon
    Given a quick fleet of the association with 3 instances
    And services crash under bookings of "poison" and are back after 300 ms
    When 9 bookings of "poison" with new keys come 1500 ms apart, to each daemon in turn
    Then 3 services have crashed at least and 4 at most
    And the last booking of "poison" at each daemon is refused as not run with the reason "suspect"
    And a booking of "tent" is done at each daemon

  Scenario: Services that crash under different bookings refuse none of them
    Given a quick fleet of the association with 3 instances
    And services crash under bookings of "poison" and are back after 300 ms
    When 6 different bookings of "poison" come 1500 ms apart, to each daemon in turn
    Then 4 services have crashed at least and 6 at most
    And no booking was refused with the reason "suspect"
    And a booking of "tent" is done at each daemon
