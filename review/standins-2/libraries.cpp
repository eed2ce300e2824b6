// Compiles Boost.Asio, Boost.Beast and Boost.JSON once.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
#include <boost/json/src.hpp>
