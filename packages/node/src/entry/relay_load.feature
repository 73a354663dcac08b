Feature: Digests of a large fleet do not fill the network link of any instance

  Scenario: No instance relays more digests than half of a weak link carries (DRAIN, GONE)
    Given 3 failure domains with 27 instances each whose load changes all the time
    When they exchange digests for 3 s
    Then no instance has sent more than 437500 bytes of digests a second
    And every instance has heard all others
