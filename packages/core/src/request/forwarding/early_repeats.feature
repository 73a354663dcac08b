Feature: No attempt is ended early unless what replaces it is secured

  Scenario Outline: A service that is slow as a whole answers each call in one run
    Given a route with a goal of 300 ms and a timeout of 1500 ms over 9 endpoints
    And all endpoints answer after <work> ms
    And <repeats> repeats are permitted
    When 60 calls come at intervals of 100 ms
    Then at least 60 of the calls are served
    And at most 60 runs were begun
    And each late call is logged once, with the verdict "not_late"

    Examples:
      | work | repeats |
      | 600  | 100     |
      | 850  | 100     |
      | 850  | 0       |
      | 1200 | 100     |

  Scenario: A silent endpoint's calls are repeated after one and a half times the goal
    Given a route with a goal of 300 ms and a timeout of 1500 ms over 9 endpoints
    And all endpoints answer after 20 ms
    And "e1" is silent
    When 60 calls come at intervals of 100 ms
    Then at least 60 of the calls are served
    And no call took longer than 480 ms
    And each late call is logged once, with the verdict "repeat"

  Scenario: A service that turns slow answers each call
    Given a route with a goal of 300 ms and a timeout of 1500 ms over 9 endpoints
    And all endpoints answer after 20 ms
    When 60 calls come at intervals of 100 ms
    And all endpoints answer after 850 ms
    And 60 calls come at intervals of 100 ms
    Then at least 120 of the calls are served
    And at most 130 runs were begun

  Scenario: A silent endpoint of a slow service is avoided
    Given a route with a goal of 300 ms and a timeout of 1500 ms over 9 endpoints
    And all endpoints answer after 850 ms
    And "e1" is silent
    When 100 calls come at intervals of 100 ms
    Then at least 95 of the calls are served

  Scenario Outline: An attempt goes on while nothing can replace it
    Given a route with a goal of 300 ms and a timeout of 1500 ms over 2 endpoints
    And the other endpoints have answered in 20 ms
    And "e1" answers "after 640 ms"
    And <repeats> repeats are permitted
    And <lack>
    When a call is forwarded that reaches "e1" first
    Then the caller gets status 200
    And the call has reached "e1"
    And <repeats> repeats are left
    And each late call is logged once, with the verdict "<verdict>"

    Examples:
      | repeats | lack                                              | verdict       |
      | 0       | a connection to "e1" is at hand                   | no_permission |
      | 1       | "e2" is suspended                                 | no_endpoint   |
      | 1       | "e2" leaves after 100 ms                          | no_endpoint   |
      | 1       | all slots of "e2" are taken                       | no_endpoint   |
      | 1       | the limits of "e2" are used up                    | no_endpoint   |

  Scenario: A permission that is not used is given back
    Given a route with a goal of 300 ms and a timeout of 1500 ms over 2 endpoints
    And the other endpoints have answered in 20 ms
    And "e1" answers "silent"
    And 1 repeats are permitted
    And the caller leaves when a permission is taken
    When a call is forwarded that reaches "e1" first
    Then the call has reached "e1"
    And 1 repeats are left
