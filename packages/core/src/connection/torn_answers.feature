Feature: Answers that break off are no answers

  # Guards against answers that end with their connection and look whole after a reset or the end of a process.
  Scenario Outline: An answer of a service that breaks off
    Given a service that answers "<script>"
    When the service is called
    Then the answer of the service is "<result>"

    Examples:
      | script                        | result      |
      | whole                         | 200 body    |
      | without length                | 200 body    |
      | without length, reset         | unknown     |
      | without length, reset at once | unknown     |
      | without length, process ended | unknown     |
      | torn                          | unknown     |
      | chunks without the last       | unknown     |
      | head of 7 bytes               | unknown     |
      | head of 17 bytes              | unknown     |
      | head of 36 bytes              | unknown     |

  # Guards against parts of early answers that look whole after a reset (MIXED).
  Scenario Outline: An answer of a service that comes while its call is still written
    Given a service that answers "<script>" and reads no more
    When the service is called with a body of 4 MB
    Then the answer of the service is "<result>"

    Examples:
      | script                        | result   |
      | whole                         | 200 body |
      | without length                | 200 body |
      | without length, reset         | unknown  |
      | without length, reset at once | unknown  |

  # Guards against bytes that are no answer of the protocol, passed on as one (MIXED).
  Scenario Outline: A head of a service that the protocol does not allow is no answer
    Given a service that answers "HTTP/1.1 <head>"
    When the service is called
    Then the answer of the service is "unknown"

    Examples:
      | head                                     |
      | 000 X; content-length: 4                 |
      | 600 X; content-length: 4                 |
      | 999 X; content-length: 4                 |
      | 200 X; x y: 1; content-length: 4         |
      | 200 X; content-length : 4                |
      | 200 X; transfer-encoding: identity       |
      | 200 X; transfer-encoding: gzip           |
      | 200 X; transfer-encoding: chunked, gzip  |
