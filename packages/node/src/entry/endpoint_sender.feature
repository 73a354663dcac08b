Feature: A call goes to an endpoint only while that is of use

  Background:
    Given a listener that sends each request of a caller on to an endpoint

  Scenario: A request of a caller that has left goes to no endpoint (GONE)
    When a caller sends a request and leaves before it is read
    Then the endpoint gets no request of that caller

  Scenario: A request of a caller that resets its connection goes to no endpoint (GONE)
    When a caller sends a request and resets its connection before it is read
    Then the endpoint gets no request of that caller

  Scenario: An endpoint that leaves before a request is sent gets none (DRAIN)
    When the endpoint leaves while a request to it is being prepared
    Then the endpoint gets no request of that caller
    And the request counts as unsent
