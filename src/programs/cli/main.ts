console.log('kumquatline');
