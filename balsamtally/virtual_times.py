"""Virtual times of start-time fair queueing between customers."""

from collections.abc import Iterable


class VirtualTimes:
    """The virtual time of a queue, and the finish tags of its customers.

    A customer's next request has the start tag max(virtual time, finish tag of its last request);
    the request with the lowest start tag is served first. An idle customer therefore neither
    gains credit nor is charged for what it didn't use. The unit is that of the charged work,
    divided by the customer's weight.

    :ivar now: the virtual time
    """

    def __init__(self):
        self.now = 0.0
        self._finishes: dict[str, float] = {}

    def find_start(self, customer: str) -> float:
        """Return the start tag of a customer's next request.

        :param customer: name of the customer
        """
        return max(self.now, self._finishes.get(customer, 0.0))

    def charge(self, customer: str, work: float) -> float:
        """Charge a customer for a request, and return the request's finish tag.

        :param customer: name of the customer
        :param work: work of the request, divided by the customer's weight
        """
        finish = self._finishes[customer] = self.find_start(customer) + work
        return finish

    def advance(self, to: float) -> None:
        """Advance the virtual time; it never goes back.

        :param to: start tag of the request in service, the lowest of the waiting requests
        """
        self.now = max(self.now, to)

    def forget(self, customer: str) -> None:
        """Drop the finish tag of a customer.

        :param customer: name of the customer
        """
        self._finishes.pop(customer, None)

    def shrink_leads(self, factor: float, least: float) -> None:
        """Reduce by how much finish tags are ahead of the virtual time; drop the smallest leads.

        :param factor: share of each lead that remains, from 0 to 1
        :param least: lead below which a finish tag is dropped, in the unit of the work
        """
        self._finishes = {
            customer: self.now + (finish - self.now) * factor
            for customer, finish in self._finishes.items()
            if finish - self.now >= least
        }

    def copy_starts(self, customers: Iterable[str]) -> dict[str, float]:
        """Return the start tags of customers' next requests.

        :param customers: names of the customers
        """
        return {customer: self.find_start(customer) for customer in customers}
