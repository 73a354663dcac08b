Feature: Slopes and the capacity page

  Scenario: A line is fitted with its error
    Given measurements around the line 3 x + 10 at sizes 10, 20, 30 and 40 that are off by 1, -1, -1 and 1
    Then the fitted slope is 3 with an error of 0.0632 and an R² above 0.99

  Scenario: Too few sizes are no slope
    Then fitting two sizes is refused

  Scenario: Every figure of the capacity page names its slopes or is an estimate
    Then each row of the capacity page names measured slopes or says that it is an estimate
    And the capacity page lists every slope with its fit
