#ifndef CORNELRUDDER_TESTS_COROUTINE_STACK_H
#define CORNELRUDDER_TESTS_COROUTINE_STACK_H

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include <exception>
#include <utility>

namespace cornelrudder::tests {

/** Runs a function on a coroutine stack, as completions of HTTP calls run. */
template<typename Function>
void
RunOnCoroutineStack(Function aFunction)
{
  std::exception_ptr error;
  boost::asio::io_context context;
  boost::asio::spawn(
    context,
    [&](const boost::asio::yield_context& /*aYield*/) {
      try {
        aFunction();
      } catch (...) {
        error = std::current_exception();
      }
    },
    boost::asio::detached);
  context.run();
  if (error) {
    std::rethrow_exception(error);
  }
}

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_COROUTINE_STACK_H
