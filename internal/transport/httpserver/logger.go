package httpserver

import (
	"sync"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/mempool"
	"k8s.io/klog/v2"
)

// libraryLogger forwards nbio's messages to klog. The library's errors concern
// single connections, so they are not logged as errors of the process.
type libraryLogger struct{}

const (
	libraryVerbosity    = 4
	connectionVerbosity = 2
)

func (libraryLogger) Debug(format string, v ...any) {
	klog.V(libraryVerbosity).Infof("nbio: "+format, v...)
}

func (libraryLogger) Info(format string, v ...any) {
	klog.V(libraryVerbosity).Infof("nbio: "+format, v...)
}

func (libraryLogger) Warn(format string, v ...any) {
	klog.V(connectionVerbosity).Infof("nbio: "+format, v...)
}

func (libraryLogger) Error(format string, v ...any) {
	klog.V(connectionVerbosity).Infof("nbio: "+format, v...)
}

// configureLibrary sets the library's global state, which all servers of a
// process share. The library's buffer pool must not be used: if a single write
// to an answer is longer than 64 KB, the library continues to use a buffer that
// it has freed, so two requests can get the same buffer and see each other's
// bytes. Buffers are therefore left to the garbage collector.
var configureLibrary = sync.OnceFunc(func() {
	logging.SetLogger(libraryLogger{})
	mempool.DefaultMemPool = mempool.NewSTD()
})
