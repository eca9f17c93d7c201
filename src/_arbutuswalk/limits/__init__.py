"""Fair queues, early refusals and retry budgets."""
