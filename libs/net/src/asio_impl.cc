// The one translation unit that holds the compiled parts of Boost.Asio and Boost.Beast
// (BOOST_ASIO_SEPARATE_COMPILATION, BOOST_BEAST_SEPARATE_COMPILATION).
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
